#include <iostream>
#include <memory>

#include "greengage/protocol/instance_settings.h"
#include "greengage/protocol/settings_reference.h"
#include "tools/greengagectl/command_line.h"

namespace greengage {

void AddSettingsCommand(CLI::App& app, CommandLine& /*line*/) {
  CLI::App* command = app.add_subcommand(
      "settings", "Print a settings file with all defaults, or the reference");
  auto markdown = std::make_shared<bool>(false);
  command->add_flag("--markdown", *markdown, "Print docs/SETTINGS.md");
  command->callback([markdown] {
    std::cout << (*markdown ? SettingsMarkdown()
                            : PrintInstanceSettings(DefaultInstanceSettings()));
  });
}

}  // namespace greengage
