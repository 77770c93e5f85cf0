#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <thread>

#include "greengage/protocol/event_codec.h"
#include "greengage/protocol/platform_codec.h"
#include "greengage/protocol/timeline.h"
#include "tools/greengagectl/calls.h"
#include "tools/greengagectl/command_line.h"

namespace greengage {

namespace {

constexpr std::chrono::milliseconds kFollowPollInterval{500};
// --follow prints events with this delay, so that all instances have recorded
// the earlier events when a batch is merged and printed.
constexpr std::chrono::milliseconds kFollowDelay{1000};

struct TimelineOptions {
  std::optional<int64_t> since_ms;
  uint32_t last_s = 60;
  std::string request;
  std::string svg;
  bool follow = false;
};

int64_t NowMilliseconds() {
  return SinceEpoch(std::chrono::system_clock::now()).count();
}

class TimelineRun {
 public:
  TimelineRun(const TimelineOptions& options, CommandLine& line)
      : options_(options), line_(line) {}

  void Run() {
    Result<ConfigurationRollout> rollout = StartRollout(line_, UINT64_MAX);
    if (!rollout) {
      line_.Fail(rollout.last_reason());
      return;
    }
    DiscoverInstances(rollout.value(), line_.timeout);
    endpoints_ = rollout->TrackedEndpoints();
    HybridTime since{options_.since_ms.value_or(
                         NowMilliseconds() - int64_t{1000} * options_.last_s),
                     0};
    if (options_.follow) {
      Follow(since);
    } else {
      Print(Fetch(since.milliseconds));
    }
  }

 private:
  std::vector<Event> Fetch(int64_t since_ms) {
    std::string target = "/v1/events?since_ms=" + std::to_string(since_ms);
    if (!options_.request.empty()) {
      target += "&request=" + PercentEncode(options_.request);
    }
    const auto answers = FetchAll(endpoints_, target, line_.timeout);
    std::vector<std::vector<Event>> logs;
    for (size_t index = 0; index < endpoints_.size(); ++index) {
      const Result<std::string>& body = answers[index];
      auto events = body ? ParseEvents(*body)
                         : Result<std::vector<Event>>(body.last_reason());
      if (events) {
        logs.push_back(*std::move(events));
      } else {
        ReportMissing(endpoints_[index], events.last_reason());
      }
    }
    return MergeEvents(std::move(logs));
  }

  // Sets an exit code, because a timeline without the events of all instances
  // is incomplete.
  void ReportMissing(const Endpoint& endpoint, const Failure& failure) {
    line_.exit_code = ExitCode::kUnavailable;
    std::cerr << "greengagectl: missing " << ToString(endpoint) << ": "
              << Describe(failure) << '\n';
  }

  void Print(const std::vector<Event>& events) {
    if (!options_.svg.empty()) {
      std::ofstream file(options_.svg);
      file << TimelineSvg(events);
      if (!file.flush()) {
        line_.Fail({FailureKind::kUnreadableFile, options_.svg,
                    "the file cannot be written"});
      }
      return;
    }
    for (const Event& event : events) {
      std::cout << (line_.json ? SerializeEvent(event) : FormatEvent(event))
                << '\n';
    }
    std::cout.flush();
  }

  // Returns when standard output fails, such as when its reader closed it.
  void Follow(HybridTime since) {
    while (std::cout.good()) {
      std::vector<Event> events = Fetch(since.milliseconds);
      const int64_t cutoff = NowMilliseconds() - kFollowDelay.count();
      std::erase_if(events, [&](const Event& event) {
        return event.time < since || event.time.milliseconds >= cutoff;
      });
      Print(events);
      since = std::max(since, HybridTime{cutoff, 0});
      std::this_thread::sleep_for(kFollowPollInterval);
    }
  }

  const TimelineOptions& options_;
  CommandLine& line_;
  std::vector<Endpoint> endpoints_;
};

}  // namespace

void AddTimelineCommand(CLI::App& app, CommandLine& line) {
  CLI::App* command = app.add_subcommand(
      "timeline", "Show the events of all instances in one order");
  auto options = std::make_shared<TimelineOptions>();
  command->add_option("--since-ms", options->since_ms,
                      "From this Unix time in milliseconds");
  command->add_option("--last-s", options->last_s, "From so many seconds ago")
      ->capture_default_str();
  command->add_option("--request", options->request,
                      "Only events of this request id");
  auto* svg = command->add_option("--svg", options->svg,
                                  "Write a picture with one lane per process");
  command
      ->add_flag("--follow", options->follow,
                 "Keep printing new events until interrupted")
      ->excludes(svg);
  command->footer(
      "Examples:\n"
      "  greengagectl --instance 10.0.1.1:8080 timeline --last-s 10\n"
      "  greengagectl --instance 10.0.1.1:8080 timeline --request ID --svg "
      "request.svg");
  command->callback([options, &line] { TimelineRun(*options, line).Run(); });
}

}  // namespace greengage
