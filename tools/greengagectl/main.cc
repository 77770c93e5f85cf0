// greengagectl: the command line client for operators.
#include "tools/greengagectl/command_line.h"

namespace greengage {
namespace {

constexpr char kExamples[] =
    "Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict, 4 unavailable\n"
    "and nothing took effect, 5 unknown, 6 not in force everywhere,\n"
    "7 different.\n"
    "Examples:\n"
    "  greengagectl check kettlebrook.ini\n"
    "  greengagectl --platform 10.0.0.1:7000 apply kettlebrook.ini\n"
    "  greengagectl --instance 10.0.1.1:8080 status";

Endpoint ParseEndpointOption(const std::string& option,
                             const std::string& text) {
  const Result<Endpoint> endpoint = ParseEndpoint(text);
  if (!endpoint) {
    throw CLI::ValidationError(option, Describe(endpoint.last_reason()));
  }
  return *endpoint;
}

void AddGlobalOptions(CLI::App& app, CommandLine& line) {
  app.add_option_function<std::string>(
      "--platform",
      [&line](const std::string& text) {
        line.platform = ParseEndpointOption("--platform", text);
      },
      "The platform's IP:PORT");
  app.add_option_function<std::vector<std::string>>(
         "--instance",
         [&line](const std::vector<std::string>& texts) {
           for (const std::string& text : texts) {
             line.instances.push_back(ParseEndpointOption("--instance", text));
           }
         },
         "An instance's IP:PORT for operators; may be repeated. Other "
         "instances "
         "are discovered from it; without it, all are read from the platform")
      ->expected(1)
      ->multi_option_policy(CLI::MultiOptionPolicy::TakeAll);
  app.add_flag("--json", line.json, "Print JSON for scripts");
  app.add_option_function<uint32_t>(
      "--timeout-ms",
      [&line](uint32_t number) {
        line.timeout = std::chrono::milliseconds(number);
      },
      "Longest time of one call [3000]");
}

int Main(int argc, char** argv) {
  CommandLine line;
  CLI::App app("Client for the operators of greengageusher", "greengagectl");
  app.set_version_flag("--version", GREENGAGE_VERSION);
  app.require_subcommand(1);
  app.fallthrough();
  app.footer(kExamples);
  AddGlobalOptions(app, line);
  AddCheckCommand(app, line);
  AddDiffCommand(app, line);
  AddApplyCommand(app, line);
  AddShowCommand(app, line);
  AddStatusCommand(app, line);
  AddTimelineCommand(app, line);
  AddExplainCommand(app, line);
  AddSearchCommand(app, line);
  AddSettingsCommand(app, line);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? code : static_cast<int>(ExitCode::kInvalid);
  }
  return static_cast<int>(line.exit_code);
}

}  // namespace
}  // namespace greengage

int main(int argc, char** argv) {
  return greengage::Main(argc, argv);
}
