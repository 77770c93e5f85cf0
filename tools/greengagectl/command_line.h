// What the commands of greengagectl share.
#ifndef GREENGAGE_TOOLS_GREENGAGECTL_COMMAND_LINE_H_
#define GREENGAGE_TOOLS_GREENGAGECTL_COMMAND_LINE_H_

#include <CLI/CLI.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "greengage/state/endpoint.h"
#include "tools/greengagectl/exit_code.h"

namespace greengage {

// Options that stand before the command. Commands set `exit_code`.
struct CommandLine {
  std::optional<Endpoint> platform;
  std::vector<Endpoint> instances;
  bool json = false;
  std::chrono::milliseconds timeout{3000};  // Of one call.
  ExitCode exit_code = ExitCode::kOk;
};

// Each adds one command to `app`. `line` outlives `app`.
void AddCheckCommand(CLI::App& app, CommandLine& line);
void AddDiffCommand(CLI::App& app, CommandLine& line);
void AddApplyCommand(CLI::App& app, CommandLine& line);
void AddShowCommand(CLI::App& app, CommandLine& line);
void AddStatusCommand(CLI::App& app, CommandLine& line);
void AddTimelineCommand(CLI::App& app, CommandLine& line);
void AddSearchCommand(CLI::App& app, CommandLine& line);
void AddSettingsCommand(CLI::App& app, CommandLine& line);

}  // namespace greengage

#endif  // GREENGAGE_TOOLS_GREENGAGECTL_COMMAND_LINE_H_
