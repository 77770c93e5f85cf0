#include <boost/json.hpp>

#include <iostream>
#include <memory>

#include "greengage/protocol/configuration_file.h"
#include "greengage/protocol/ini_difference.h"
#include "tools/greengagectl/calls.h"
#include "tools/greengagectl/command_line.h"

namespace greengage {

namespace {

boost::json::value ToJson(const std::optional<std::string>& value) {
  return value ? boost::json::value(*value) : boost::json::value();
}

void Print(const std::vector<IniDifference>& differences) {
  std::string section;
  for (const IniDifference& difference : differences) {
    if (difference.section != section) {
      section = difference.section;
      std::cout << "[" << section << "]\n";
    }
    if (difference.before) {
      std::cout << "- " << difference.key << " = " << *difference.before
                << '\n';
    }
    if (difference.after) {
      std::cout << "+ " << difference.key << " = " << *difference.after << '\n';
    }
  }
}

void PrintJson(const std::vector<IniDifference>& differences,
               uint64_t version) {
  boost::json::array array;
  for (const IniDifference& difference : differences) {
    array.push_back({{"section", difference.section},
                     {"key", difference.key},
                     {"before", ToJson(difference.before)},
                     {"after", ToJson(difference.after)}});
  }
  std::cout << boost::json::object{{"version", version},
                                   {"differences", std::move(array)}}
            << '\n';
}

// Returns the configuration object of the platform, or an empty object if there
// is none.
Result<PlatformObject> ReadCurrent(const Endpoint& platform,
                                   std::chrono::milliseconds timeout) {
  Result<PlatformObject> object = ReadConfigurationObject(platform, timeout);
  if (!object && object.last_reason().kind == FailureKind::kNotFound) {
    return PlatformObject{};
  }
  return object;
}

void RunDiff(const std::string& path, CommandLine& line) {
  const Result<Endpoint> platform = line.RequirePlatform();
  if (!platform) {
    line.Fail(platform.last_reason());
    return;
  }
  const Result<std::string> text = ReadFile(path);
  if (!text) {
    line.Fail(text.last_reason());
    return;
  }
  const auto after = IniDocument::Parse(*text, path);
  if (!after) {
    line.Fail(after.failures(), ExitCode::kInvalid);
    return;
  }
  const auto current = ReadCurrent(*platform, line.timeout);
  if (!current) {
    line.Fail(current.last_reason());
    return;
  }
  const auto before =
      IniDocument::Parse(current->value, ToString(ConfigurationObject()));
  if (!before) {
    line.Fail(before.failures(), ExitCode::kFailed);
    return;
  }
  const auto differences = Compare(*before, *after);
  line.exit_code = differences.empty() ? ExitCode::kOk : ExitCode::kDifferent;
  if (line.json) {
    PrintJson(differences, current->version);
  } else {
    Print(differences);
  }
}

}  // namespace

void AddDiffCommand(CLI::App& app, CommandLine& line) {
  CLI::App* command = app.add_subcommand(
      "diff", "Show what a file would change; exits 7 if it differs");
  auto path = std::make_shared<std::string>();
  command->add_option("FILE", *path, "Configuration file")->required();
  command->footer(
      "Example:\n  greengagectl --platform 10.0.0.1:7000 diff kettlebrook.ini");
  command->callback([path, &line] { RunDiff(*path, line); });
}

}  // namespace greengage
