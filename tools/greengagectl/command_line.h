// Command line options and helpers that the commands of greengagectl share.
#ifndef GREENGAGE_TOOLS_GREENGAGECTL_COMMAND_LINE_H_
#define GREENGAGE_TOOLS_GREENGAGECTL_COMMAND_LINE_H_

#include <CLI/CLI.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "greengage/protocol/validated.h"
#include "greengage/state/endpoint.h"
#include "greengage/state/result.h"
#include "tools/greengagectl/exit_code.h"

namespace greengage {

// Global options, valid before or after the command. Commands set `exit_code`.
struct CommandLine {
  std::optional<Endpoint> platform;
  std::vector<Endpoint> instances;
  bool json = false;
  std::chrono::milliseconds timeout{3000};  // Timeout of one call.
  ExitCode exit_code = ExitCode::kOk;

  // Prints failures to standard error, or as JSON to standard output, and
  // sets the exit code.
  void Fail(const std::vector<Failure>& failures, ExitCode code);
  void Fail(const Failure& failure);

  // Returns the endpoint of the platform. Fails with kMissingKey.
  Result<Endpoint> RequirePlatform() const;
};

ExitCode ExitCodeFor(FailureKind kind);

// Returns the content of the file. Fails with kUnreadableFile.
Result<std::string> ReadFile(const std::string& path);

// Each function adds one command to `app`. `line` must outlive `app`.
void AddCheckCommand(CLI::App& app, CommandLine& line);
void AddDiffCommand(CLI::App& app, CommandLine& line);
void AddApplyCommand(CLI::App& app, CommandLine& line);
void AddShowCommand(CLI::App& app, CommandLine& line);
void AddStatusCommand(CLI::App& app, CommandLine& line);
void AddTimelineCommand(CLI::App& app, CommandLine& line);
void AddExplainCommand(CLI::App& app, CommandLine& line);
void AddSearchCommand(CLI::App& app, CommandLine& line);
void AddSettingsCommand(CLI::App& app, CommandLine& line);

}  // namespace greengage

#endif  // GREENGAGE_TOOLS_GREENGAGECTL_COMMAND_LINE_H_
