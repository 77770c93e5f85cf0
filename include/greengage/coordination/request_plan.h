// The decisions on one opaque request: whom to ask, when to ask another
// searcher, and when to answer with what.
#ifndef GREENGAGE_COORDINATION_REQUEST_PLAN_H_
#define GREENGAGE_COORDINATION_REQUEST_PLAN_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "greengage/coordination/request_plan_context.h"
#include "greengage/coordination/searcher_chooser.h"
#include "greengage/state/route.h"
#include "greengage/state/route_table.h"
#include "greengage/state/searcher_answer.h"
#include "greengage/state/time.h"

namespace greengage {

enum class AttemptReason : uint8_t {
  kFirst,
  kHedge,  // The attempt before is slower than usual.
  kRetry,  // The attempt before has ended without a result.
};

// Name in snake_case, for logs and metrics.
std::string_view AttemptReasonName(AttemptReason reason);

enum class RequestOutcome : uint8_t {
  kForwarded,   // `answer` is one searcher's.
  kMerged,      // `parts` are to be merged.
  kNotRun,      // Proved for every attempt.
  kUnknown,     // Some attempt may have run, and none has an answer.
  kTimedOut,    // As kUnknown, at the end of the caller's or the route's time.
  kCallerLeft,  // The caller has gone.
};

// Name in snake_case, for logs and metrics.
std::string_view RequestOutcomeName(RequestOutcome end);

struct RequestResult {
  RequestOutcome outcome = RequestOutcome::kUnknown;
  SearcherAnswer answer;
  std::vector<SearcherAnswer> parts;
  size_t missing_parts = 0;
  Duration retry_after{};  // With kNotRun: when to come back.
  // Parts whose searchers are silent or overloaded, if the request was refused
  // for them before any attempt.
  size_t unlikely_parts = 0;
  std::string_view cause;  // Why it is not a whole answer; for logs.
};

// Send attempt `id` to `searcher`; it must end by `deadline`.
struct AttemptToSend {
  uint64_t id = 0;
  RoutedSearcherPtr searcher;
  AttemptReason reason = AttemptReason::kFirst;
  TimePoint deadline;
  Duration expected{};  // The time that the choice counted on.
};

struct RequestActions {
  std::vector<AttemptToSend> sends;
  std::vector<uint64_t> cancels;        // Attempts that are of no use any more.
  std::optional<RequestResult> result;  // Given once.
};

// Each function that decides gives what to do next. Not thread-safe.
class RequestPlan {
 public:
  // `deadline` is the caller's. `table` and `route` stay as they are for the
  // whole request; `next_attempt` numbers the attempts of all plans.
  RequestPlan(TimePoint now,
              RouteTablePtr table,
              const Route* route,
              TimePoint deadline,
              RequestPlanContext* context,
              std::function<uint64_t()> next_attempt);

  RequestActions Start(TimePoint now);

  RequestActions OnAttemptEnded(TimePoint now,
                                uint64_t attempt,
                                AttemptOutcome outcome);

  RequestActions OnTimer(TimePoint now);

  // The caller has closed its connection; the result is kLeft.
  RequestActions OnCallerLeft(TimePoint now);

  // When OnTimer() can next do anything; empty once there is a result.
  std::optional<TimePoint> next_timer() const;

  bool has_result() const { return finished_; }
  size_t open_attempts() const { return attempts_.size(); }
  const Route& route() const { return *route_; }
  const RouteTable& table() const { return *table_; }

 private:
  struct Attempt {
    size_t part = 0;
    RoutedSearcherPtr searcher;
    AttemptReason reason = AttemptReason::kFirst;
    TimePoint sent;
  };

  // One service that has to give an answer.
  struct Part {
    std::string service;
    std::vector<RoutedSearcherPtr> tried;
    uint32_t in_flight = 0;  // Attempts under way.
    uint32_t may_have_run_count =
        0;  // Attempts that are not proved not to have run.
    uint32_t sent_count = 0;
    bool may_have_run = false;
    std::optional<TimePoint> hedge_at;
    std::optional<TimePoint> retry_at;
    std::optional<SearcherAnswer> answer;
    std::optional<SearcherAnswer> failure;  // The last one of a searcher.
    bool closed = false;                    // Nothing more will come.
  };

  void AddParts();
  bool Send(TimePoint now,
            const RouteTiming& timing,
            size_t index,
            AttemptReason reason,
            RequestActions& actions);
  // Refuses the request if too few parts are likely to be in soon enough.
  void RejectIfUnlikely(TimePoint now,
                        Duration typical,
                        RequestActions& actions);
  double BudgetReserve(TimePoint now, AttemptReason reason) const;
  // Parts that are in or likely to come.
  double ExpectedParts(TimePoint now) const;
  bool MayRetry(const Part& part) const;
  void OnPartFailed(TimePoint now, size_t index, RequestActions& actions);
  // Of `part`, or of all parts.
  void CancelAttempts(std::optional<size_t> part,
                      RequestActions& actions) const;
  void CloseIfIdle(Part& part);
  void FinishIfDone(TimePoint now, RequestActions& actions);
  void FinishSingleIfDone(TimePoint now, RequestActions& actions);
  void FinishGatherIfDone(TimePoint now, RequestActions& actions);
  void Finish(TimePoint now, RequestResult result, RequestActions& actions);
  void Reject(TimePoint now,
              Duration wait,
              RequestResult result,
              RequestActions& actions);
  void FinishWithoutAnswer(TimePoint now, RequestActions& actions);
  RequestResult Merge();
  size_t RequiredParts() const;
  // Parts that are in or may still come.
  size_t ObtainableParts(TimePoint now) const;
  bool MayHaveRun() const;

  const RouteTablePtr table_;
  const Route* const route_;
  RequestPlanContext* const context_;
  SearcherChooser chooser_;
  const std::function<uint64_t()> next_attempt_;
  const bool idempotent_;
  TimePoint response_deadline_;  // An answer is due then, whatever it is.
  TimePoint target_deadline_;    // Missing parts are not waited for any longer.
  TimePoint recheck_at_;         // Whether what is missing may still come.
  bool target_missed_ =
      false;  // `target_deadline_` passed without enough parts.
  std::vector<Part> parts_;
  std::unordered_map<uint64_t, Attempt> attempts_;
  bool finished_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_REQUEST_PLAN_H_
