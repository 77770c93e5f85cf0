#include <boost/json.hpp>

#include <iostream>
#include <memory>
#include <random>
#include <thread>

#include "greengage/coordination/configuration_update.h"
#include "greengage/protocol/configuration_file.h"
#include "tools/greengagectl/calls.h"
#include "tools/greengagectl/command_line.h"
#include "tools/greengagectl/rollout_report.h"

namespace greengage {

namespace {

constexpr std::chrono::milliseconds kPollInterval{250};

struct ApplyOptions {
  std::string path;
  std::optional<uint64_t> expected;
  bool wait = true;
  uint32_t settle_s = 30;  // Timeout of the platform write.
  uint32_t wait_s = 30;    // Timeout of the rollout to the instances.
};

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

std::string MakeAttemptToken() {
  constexpr int kWords = 4;
  constexpr char kDigits[] = "0123456789abcdef";
  std::random_device device;
  std::string token;
  for (int word = 0; word < kWords; ++word) {
    uint32_t bits = device();
    for (int digit = 0; digit < 8; ++digit) {
      token += kDigits[bits & 15U];
      bits >>= 4;
    }
  }
  return token;
}

std::string_view OutcomeName(UpdateOutcome outcome) {
  switch (outcome) {
    case UpdateOutcome::kAccepted:
      return "accepted";
    case UpdateOutcome::kSuperseded:
      return "superseded";
    case UpdateOutcome::kConflict:
      return "conflict";
    case UpdateOutcome::kRejected:
      return "rejected";
    case UpdateOutcome::kUnavailable:
      return "unavailable";
    case UpdateOutcome::kUnknown:
      return "unknown";
  }
  return "unnamed";
}

ExitCode ExitCodeFor(UpdateOutcome outcome) {
  switch (outcome) {
    case UpdateOutcome::kAccepted:
      return ExitCode::kOk;
    case UpdateOutcome::kSuperseded:
    case UpdateOutcome::kConflict:
      return ExitCode::kConflict;
    case UpdateOutcome::kRejected:
      return ExitCode::kFailed;
    case UpdateOutcome::kUnavailable:
      return ExitCode::kUnavailable;
    case UpdateOutcome::kUnknown:
      return ExitCode::kUnknown;
  }
  return ExitCode::kFailed;
}

class ApplyRun {
 public:
  ApplyRun(const ApplyOptions& options, CommandLine& line)
      : options_(options), line_(line) {}

  void Run() {
    const Result<Endpoint> platform = line_.RequirePlatform();
    if (!platform) {
      line_.Fail(platform.last_reason());
      return;
    }
    const Result<std::string> text = ReadFile(options_.path);
    if (!text) {
      line_.Fail(text.last_reason());
      return;
    }
    const auto configuration = ParseConfiguration(*text, options_.path, 0);
    if (!configuration) {
      line_.Fail(configuration.failures(), ExitCode::kInvalid);
      return;
    }
    Update(*platform, *text);
    line_.exit_code = ExitCodeFor(result_.outcome);
    if (result_.outcome == UpdateOutcome::kAccepted && options_.wait) {
      WaitForInstances();
    }
    Report();
  }

 private:
  void Update(const Endpoint& platform, const std::string& text) {
    ConfigurationUpdate update(text, MakeAttemptToken(), options_.expected,
                               Now() + std::chrono::seconds(options_.settle_s));
    for (;;) {
      const UpdateStep step = update.Next(Now());
      if (const auto* result = std::get_if<UpdateResult>(&step)) {
        result_ = *result;
        return;
      }
      if (const auto* wait = std::get_if<WaitStep>(&step)) {
        std::this_thread::sleep_until(wait->until);
      } else if (const auto* write = std::get_if<WriteStep>(&step)) {
        const PlatformWrite written = WriteConfigurationObject(
            platform, write->expected, write->value, line_.timeout);
        PrintFailure(written.reason);
        update.OnWritten(Now(), written);
      } else {
        const auto object = ReadConfigurationObject(platform, line_.timeout);
        PrintFailure(object ? Failure{} : object.last_reason());
        update.OnRead(Now(), object);
      }
    }
  }

  void WaitForInstances() {
    PrintProgress("accepted as version " + std::to_string(result_.version));
    const auto started = StartRollout(line_, result_.version);
    if (!started) {
      PrintProgress(Describe(started.last_reason()));
      line_.exit_code = ExitCode::kNotActive;
      return;
    }
    rollout_ = *started;
    const TimePoint deadline = Now() + std::chrono::seconds(options_.wait_s);
    for (;;) {
      PollRound(*rollout_, line_.timeout);
      PrintCounts();
      if (rollout_->complete()) {
        return;
      }
      if (Now() >= deadline) {
        line_.exit_code = ExitCode::kNotActive;
        return;
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  void PrintCounts() {
    PrintProgress("in force at " + std::to_string(rollout_->UpToDate().size()) +
                  ", lacking at " + std::to_string(rollout_->Pending().size()) +
                  " instances");
  }

  void Report() const {
    if (line_.json) {
      std::cout << ToJson() << '\n';
      return;
    }
    if (result_.outcome != UpdateOutcome::kAccepted) {
      std::cerr << "greengagectl: " << OutcomeName(result_.outcome) << ": "
                << result_.reason.subject << ": " << result_.reason.detail
                << '\n';
      return;
    }
    std::cout << "version " << result_.version << " is accepted\n";
    if (rollout_) {
      std::cout << RolloutTable(*rollout_);
    }
  }

  boost::json::object ToJson() const {
    boost::json::object json{{"outcome", OutcomeName(result_.outcome)},
                             {"version", result_.version},
                             {"present", result_.latest_version}};
    if (result_.outcome != UpdateOutcome::kAccepted) {
      json["reason"] = {{"kind", FailureKindName(result_.reason.kind)},
                        {"subject", result_.reason.subject},
                        {"detail", result_.reason.detail}};
    }
    if (rollout_) {
      const boost::json::object instances = RolloutJson(*rollout_);
      json.insert(instances.begin(), instances.end());
    }
    return json;
  }

  // Omits kNotFound: the object does not exist before the first change.
  void PrintFailure(const Failure& failure) {
    if (!failure.subject.empty() && failure.kind != FailureKind::kNotFound) {
      PrintProgress(Describe(failure));
    }
  }

  // Prints a progress line to standard error unless it repeats the last one.
  void PrintProgress(const std::string& text) {
    if (!line_.json && text != last_progress_) {
      std::cerr << "greengagectl: " << text << '\n';
    }
    last_progress_ = text;
  }

  const ApplyOptions& options_;
  CommandLine& line_;
  UpdateResult result_;
  std::optional<ConfigurationRollout> rollout_;
  std::string last_progress_;
};

}  // namespace

void AddApplyCommand(CLI::App& app, CommandLine& line) {
  CLI::App* command = app.add_subcommand(
      "apply", "Check a file, replace the configuration with it, and wait");
  auto options = std::make_shared<ApplyOptions>();
  command->add_option("FILE", options->path, "Configuration file")->required();
  command->add_option("--expected", options->expected,
                      "Version that it replaces; another one is a conflict");
  command
      ->add_flag("--wait,!--no-wait", options->wait,
                 "Wait until every reachable instance has it in force")
      ->capture_default_str();
  command
      ->add_option("--settle-s", options->settle_s,
                   "Longest time to get the platform's answer")
      ->capture_default_str();
  command
      ->add_option("--wait-s", options->wait_s,
                   "Longest time to wait for the instances")
      ->capture_default_str();
  command->footer(
      "Exits 0 if it is accepted and in force, 2 if the file is not valid,\n"
      "3 if another change won, 4 if nothing took effect, 5 if that could not\n"
      "be settled, 6 if an instance lacks it.\n"
      "Examples:\n"
      "  greengagectl --platform 10.0.0.1:7000 apply kettlebrook.ini\n"
      "  greengagectl --platform 10.0.0.1:7000 apply --expected 12 new.ini");
  command->callback([options, &line] { ApplyRun(*options, line).Run(); });
}

}  // namespace greengage
