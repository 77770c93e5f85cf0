#include "greengage/protocol/settings_reference.h"

#include <vector>

#include "greengage/protocol/configuration_file.h"
#include "greengage/protocol/instance_settings.h"

namespace greengage {

namespace {

constexpr char kIntroduction[] = R"(# Settings

`greengagectl settings --markdown` prints this page from the tables that the
programs parse with; a test compares the two. Files are INI: `[section]` lines,
`key = value` lines, and comments on lines of their own that start with `;` or
`#`. Unknown sections and keys are errors, and so are repeated ones. A program
reports all errors of a file at once, each with its section, key and line.
)";

constexpr char kInstanceHeading[] = R"(
## An instance's own file

`greengaged --settings FILE` reads it when it starts;
`greengaged --settings FILE --print-settings` prints all values in use.
)";

constexpr char kConfigurationHeading[] = R"(
## The configuration of a deployment

`greengagectl apply FILE` puts it in force on all instances. All three sections
`[rank …]` are required, and at least one `[service NAME]`. The shards of a
service tile its key space without gap or overlap, and every replica has its
section `[searcher IP:PORT]`. A file has at most 1 MiB.
)";

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char character : text) {
    if (character == '|') {
      escaped += '\\';
    }
    escaped += character;
  }
  return escaped;
}

std::string Row(const SettingInfo& info) {
  std::string default_value = "required";
  if (info.default_value) {
    default_value =
        info.default_value->empty() ? "none" : "`" + *info.default_value + "`";
  }
  return "| `" + info.key + "` | " + info.type + " | " + Escape(info.allowed) +
         " | " + default_value + " | " + Escape(info.description) + " |\n";
}

std::string Tables(const std::vector<SettingInfo>& infos) {
  std::string text;
  std::string section;
  for (const SettingInfo& info : infos) {
    if (info.section != section) {
      section = info.section;
      text += "\n### `[" + section + "]`\n\n";
      text += "| key | type | allowed | default | meaning |\n";
      text += "| --- | --- | --- | --- | --- |\n";
    }
    text += Row(info);
  }
  return text;
}

std::vector<SettingInfo> InstanceInfos() {
  std::vector<SettingInfo> infos;
  for (const auto& setting : InstanceSettingTable().settings()) {
    infos.push_back(setting.info);
  }
  return infos;
}

}  // namespace

std::string SettingsMarkdown() {
  return std::string(kIntroduction) + kInstanceHeading +
         Tables(InstanceInfos()) + kConfigurationHeading +
         Tables(ConfigurationSettings());
}

}  // namespace greengage
