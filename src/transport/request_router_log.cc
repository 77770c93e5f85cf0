// The log lines of a RequestRouter about a request that has ended.
#include <algorithm>
#include <map>
#include <string_view>

#include "greengage/transport/log.h"
#include "greengage/transport/log_line.h"
#include "transport/request_router_state.h"

namespace greengage {
namespace {

// One in this many requests with a complete answer within the target latency
// is logged. All other requests are logged.
constexpr uint64_t kCompleteAnswersPerLogLine = 32;

// An attempt is logged as slow if it took at least this percentage of the
// target latency.
constexpr int kSlowAttemptPercent = 50;

// Maximum number of attempts that are logged for one request.
constexpr size_t kMaxAttemptLines = 12;

// Logged as the end of an attempt that is still in flight when its request
// ends.
constexpr std::string_view kInFlightEnd = "open";

}  // namespace

void RequestRouter::LogRequestEnd(const ActiveRequest& active,
                                  const RequestResult& result,
                                  unsigned status,
                                  TimePoint now) {
  const Route& route = active.plan->route();
  const Duration took = now - active.arrived;
  const bool complete_and_in_time =
      result.cause.empty() && took <= route.target_latency;
  if (complete_and_in_time &&
      ++complete_answers_ % kCompleteAnswersPerLogLine != 0) {
    return;
  }
  LogLine(DecisionEvent::kRequestEnded)
      .Add("request_id", active.caller.id)
      .Add("route", route.name)
      .Add("configuration", active.plan->table().version())
      .Add("registry_age_ms", active.registry_age)
      .Add("time_left_ms", active.deadline - active.arrived)
      .Add("target_ms", Duration(route.target_latency))
      .Add("took_ms", took)
      .Add("end", RequestOutcomeName(result.outcome))
      .Add("status", status)
      .Add("cause", result.cause)
      .Add("parts", result.parts.size())
      .Add("missing_parts", result.missing_parts)
      .Add("unlikely_parts", result.unlikely_parts)
      .Add("attempts", active.attempts)
      .Add("extra_attempts", active.extra_attempts)
      .Add("trouble", MainCause(active, result))
      .Write();
  if (HasSpareLogCapacity()) {
    LogAttempts(active);
  }
}

// Returns the most frequent end of the attempts that got no answer. If there
// are none, a missing part had no searcher to send an attempt to.
std::string_view RequestRouter::MainCause(const ActiveRequest& active,
                                          const RequestResult& result) {
  std::map<std::string_view, size_t> counts;
  for (const AttemptRecord& attempt_record : active.attempt_records) {
    if (attempt_record.end != AttemptEnd::kAnswered) {
      ++counts[attempt_record.end ? AttemptEndName(*attempt_record.end)
                                  : kInFlightEnd];
    }
  }
  const auto most_frequent = std::max_element(
      counts.begin(), counts.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  if (most_frequent != counts.end()) {
    return most_frequent->first;
  }
  if (result.unlikely_parts > 0) {
    return kShardsNotAnsweringTrouble;
  }
  const bool complete = (result.outcome == RequestOutcome::kMerged ||
                         result.outcome == RequestOutcome::kForwarded) &&
                        result.missing_parts == 0;
  return complete ? kNoTrouble : kNoSearcherTrouble;
}

void RequestRouter::LogAttempts(const ActiveRequest& active) {
  const Duration slow =
      active.plan->route().target_latency * kSlowAttemptPercent / 100;
  size_t logged = 0;
  for (const AttemptRecord& attempt_record : active.attempt_records) {
    const bool unremarkable = attempt_record.reason == AttemptReason::kFirst &&
                              attempt_record.end == AttemptEnd::kAnswered &&
                              attempt_record.ended - attempt_record.sent < slow;
    if (unremarkable || ++logged > kMaxAttemptLines) {
      continue;
    }
    LogLine(DecisionEvent::kAttempt)
        .Add("request_id", active.caller.id)
        .Add("attempt", attempt_record.attempt)
        .Add("reason", AttemptReasonName(attempt_record.reason))
        .Add("service", attempt_record.service)
        .Add("searcher", attempt_record.searcher)
        .Add("sent_ms", attempt_record.sent)
        .Add("expected_ms", attempt_record.expected)
        .Add("end", attempt_record.end ? AttemptEndName(*attempt_record.end)
                                       : kInFlightEnd)
        .Add("ended_ms", attempt_record.ended)
        .Add("detail", attempt_record.detail)
        .Write();
  }
}

}  // namespace greengage
