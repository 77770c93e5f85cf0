#include <iostream>
#include <memory>

#include "greengage/protocol/configuration_file.h"
#include "tools/greengagectl/command_line.h"

namespace greengage {

namespace {

void RunCheck(const std::string& path, CommandLine& line) {
  const Result<std::string> text = ReadFile(path);
  if (!text) {
    line.Fail(text.last_reason());
    return;
  }
  const auto configuration = ParseConfiguration(*text, path, 0);
  if (!configuration) {
    line.Fail(configuration.failures(), ExitCode::kInvalid);
    return;
  }
  size_t shards = 0;
  for (const auto& [name, service] : configuration->services) {
    shards += service.shards.size();
  }
  if (line.json) {
    std::cout << "{\"failures\":[]}\n";
    return;
  }
  std::cout << path << " is valid: " << configuration->services.size()
            << " services, " << shards << " shards, "
            << configuration->searchers.size() << " searchers\n";
}

}  // namespace

void AddCheckCommand(CLI::App& app, CommandLine& line) {
  CLI::App* command =
      app.add_subcommand("check", "Check a configuration file, nothing else");
  auto path = std::make_shared<std::string>();
  command->add_option("FILE", *path, "Configuration file")->required();
  command->footer("Example:\n  greengagectl check kettlebrook.ini");
  command->callback([path, &line] { RunCheck(*path, line); });
}

}  // namespace greengage
