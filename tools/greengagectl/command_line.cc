#include "tools/greengagectl/command_line.h"

#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace greengage {

ExitCode ExitCodeFor(FailureKind kind) {
  switch (kind) {
    case FailureKind::kInvalidArgument:
    case FailureKind::kUnreadableFile:
    case FailureKind::kInvalidSyntax:
    case FailureKind::kUnknownSection:
    case FailureKind::kUnknownKey:
    case FailureKind::kMissingKey:
    case FailureKind::kOutOfRange:
    case FailureKind::kDuplicate:
    case FailureKind::kIncomplete:
      return ExitCode::kInvalid;
    case FailureKind::kConflict:
      return ExitCode::kConflict;
    case FailureKind::kConnectFailed:
    case FailureKind::kUnavailable:
      return ExitCode::kUnavailable;
    default:
      return ExitCode::kFailed;
  }
}

void CommandLine::Fail(const std::vector<Failure>& failures, ExitCode code) {
  exit_code = code;
  if (!json) {
    for (const Failure& failure : failures) {
      std::cerr << "greengagectl: " << Describe(failure) << '\n';
    }
    return;
  }
  boost::json::array array;
  for (const Failure& failure : failures) {
    array.push_back({{"kind", FailureKindName(failure.kind)},
                     {"subject", failure.subject},
                     {"detail", failure.detail}});
  }
  std::cout << boost::json::object{{"failures", std::move(array)}} << '\n';
}

void CommandLine::Fail(const Failure& failure) {
  Fail({failure}, ExitCodeFor(failure.kind));
}

Result<Endpoint> CommandLine::RequirePlatform() const {
  if (!platform) {
    return Failure{FailureKind::kMissingKey, "--platform",
                   "the command needs the platform's IP:PORT"};
  }
  return *platform;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Failure{FailureKind::kUnreadableFile, path,
                   "the file cannot be opened for reading"};
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace greengage
