#include <iostream>

#include "tools/greengagectl/calls.h"
#include "tools/greengagectl/command_line.h"
#include "tools/greengagectl/rollout_report.h"

namespace greengage {

namespace {

// Returns the version in the platform or, if the platform is not given or not
// available, the highest version of an instance.
uint64_t NewestVersion(const CommandLine& line,
                       const ConfigurationRollout& rollout) {
  if (line.platform) {
    const auto object = ReadConfigurationObject(*line.platform, line.timeout);
    if (object) {
      return object->version;
    }
    std::cerr << "greengagectl: " << Describe(object.last_reason()) << '\n';
  }
  return rollout.HighestVersion();
}

void RunStatus(CommandLine& line) {
  Result<ConfigurationRollout> started = StartRollout(line, UINT64_MAX);
  if (!started) {
    line.Fail(started.last_reason());
    return;
  }
  ConfigurationRollout& rollout = started.value();
  DiscoverInstances(rollout, line.timeout);
  const uint64_t version = NewestVersion(line, rollout);
  rollout.SetVersion(version);
  line.exit_code = rollout.complete() ? ExitCode::kOk : ExitCode::kNotActive;
  if (line.json) {
    boost::json::object json = RolloutJson(rollout);
    json["version"] = version;
    std::cout << json << '\n';
    return;
  }
  std::cout << "newest version: " << version << '\n' << RolloutTable(rollout);
}

}  // namespace

void AddStatusCommand(CLI::App& app, CommandLine& line) {
  CLI::App* command = app.add_subcommand(
      "status", "Show all instances and the versions that they have in force");
  command->footer(
      "Exits 6 if an instance lacks the newest version.\n"
      "Example:\n  greengagectl --platform 10.0.0.1:7000 "
      "--instance 10.0.1.1:8080 status");
  command->callback([&line] { RunStatus(line); });
}

}  // namespace greengage
