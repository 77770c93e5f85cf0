#include <boost/json.hpp>

#include <iostream>
#include <memory>

#include "greengage/coordination/attempt_header.h"
#include "tools/greengagectl/calls.h"
#include "tools/greengagectl/command_line.h"

namespace greengage {

namespace {

void RunShow(CommandLine& line) {
  const Result<Endpoint> platform = line.RequirePlatform();
  if (!platform) {
    line.Fail(platform.last_reason());
    return;
  }
  const auto object = ReadConfigurationObject(*platform, line.timeout);
  if (!object) {
    line.Fail(object.last_reason());
    return;
  }
  const std::string_view text = StripAttempts(object->value);
  if (line.json) {
    std::cout << boost::json::object{{"version", object->version},
                                     {"modified_ms",
                                      SinceEpoch(object->modified).count()},
                                     {"value", text}}
              << '\n';
    return;
  }
  std::cerr << "version " << object->version << '\n';
  std::cout << text;
}

}  // namespace

void AddShowCommand(CLI::App& app, CommandLine& line) {
  CLI::App* command =
      app.add_subcommand("show", "Print the configuration in the platform");
  command->footer(
      "Example:\n  greengagectl --platform 10.0.0.1:7000 show > present.ini");
  command->callback([&line] { RunShow(line); });
}

}  // namespace greengage
