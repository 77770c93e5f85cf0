// The operators' client.
#include "tools/greengagectl/command_line.h"

namespace greengage {
namespace {

int Main(int argc, char** argv) {
  CommandLine line;
  CLI::App app("Client for the operators of greengageusher", "greengagectl");
  app.set_version_flag("--version", GREENGAGE_VERSION);
  app.require_subcommand(1);
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
