// Plans the attempts of one opaque request: which searchers to send it to, when
// to hedge or retry, and when to return which result.
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
#include "greengage/state/request_terms.h"
#include "greengage/state/route.h"
#include "greengage/state/route_table.h"
#include "greengage/state/searcher_answer.h"
#include "greengage/state/time.h"

namespace greengage {

enum class AttemptReason : uint8_t {
  kFirst,
  kHedge,  // The previous attempt is slower than usual.
  kRetry,  // The previous attempt ended without an answer.
};

// Name in snake_case, for logs and metrics.
std::string_view AttemptReasonName(AttemptReason reason);

enum class RequestOutcome : uint8_t {
  kForwarded,   // `answer` is the response of one searcher.
  kMerged,      // `parts` are to be merged.
  kNotRun,      // It is certain that no searcher ran the request.
  kUnknown,     // An attempt may have run, but none was answered.
  kTimedOut,    // As kUnknown, after the deadline or the timeout of the route.
  kCallerLeft,  // The caller closed its connection.
};

// Name in snake_case, for logs and metrics.
std::string_view RequestOutcomeName(RequestOutcome outcome);

struct RequestResult {
  RequestOutcome outcome = RequestOutcome::kUnknown;
  SearcherAnswer answer;
  std::vector<SearcherAnswer> parts;
  size_t missing_parts = 0;
  Duration retry_after{};  // With kNotRun: delay before the caller retries.
  // Number of parts whose searchers are unresponsive or overloaded, if the
  // request was rejected before any attempt.
  size_t unlikely_parts = 0;
  std::string_view cause;  // Why the answer is not complete; for logs.
};

// An attempt to send now, which must end by `deadline`.
struct AttemptToSend {
  uint64_t id = 0;
  RoutedSearcherPtr searcher;
  AttemptReason reason = AttemptReason::kFirst;
  TimePoint deadline;
  Duration expected{};  // Estimated latency at the time of the choice.
  // The searcher had an earlier attempt of this request. A late copy of its
  // answer to that one must not be taken for the answer to this one.
  bool is_repeat = false;
  // What the attempt needs if the searcher names a limit.
  TokenDemand tokens;
};

struct RequestActions {
  std::vector<AttemptToSend> sends;
  std::vector<uint64_t> cancels;        // Attempts that are no longer needed.
  std::optional<RequestResult> result;  // Set exactly once per request.
};

// How many searchers may have the request at the same time.
enum class AttemptPolicy : uint8_t {
  kParallel,    // One for each part, and hedges.
  kOneAtATime,  // For requests that may end the searchers that run them: the
                // other parts follow once a searcher has answered.
};

// Functions that return RequestActions make decisions; the caller must carry
// them out. Not thread-safe.
class RequestPlan {
 public:
  // `deadline` is that of the caller. `route` must belong to `table`, which the
  // plan keeps for the whole request. `context` must outlive the plan.
  // `next_attempt` returns ids that are unique among all plans.
  RequestPlan(TimePoint now,
              RouteTablePtr table,
              const Route* route,
              RequestTerms terms,
              TimePoint deadline,
              RequestPlanContext* context,
              std::function<uint64_t()> next_attempt,
              AttemptPolicy policy = AttemptPolicy::kParallel);

  RequestActions Start(TimePoint now);

  RequestActions OnAttemptEnded(TimePoint now,
                                uint64_t attempt,
                                AttemptOutcome outcome);

  RequestActions OnTimer(TimePoint now);

  // Reports that the caller closed its connection. The outcome is kCallerLeft.
  RequestActions OnCallerLeft(TimePoint now);

  // Reports that the request must not be sent any more, as `cause` says. The
  // outcome is kNotRun if no searcher may have run it, otherwise kUnknown.
  // `actions` are those of the last event, whose attempts are withdrawn.
  RequestActions OnForbidden(RequestActions actions,
                             Duration retry_after,
                             std::string_view cause);

  // Returns when to call OnTimer() next. Empty once there is a result.
  std::optional<TimePoint> next_timer() const;

  bool has_result() const { return finished_; }
  size_t open_attempts() const { return attempts_.size(); }

  // Returns true if a searcher ran the request to its end, and no attempt was
  // lost so far.
  bool RanWithoutLoss() const { return answers_ > 0 && losses_ == 0; }

  // Returns true if so many attempts were lost, and none answered, that the
  // request is not sent again.
  bool WasLostEverywhere() const;

  const Route& route() const { return *route_; }
  const RequestTerms& terms() const { return terms_; }
  const RouteTable& table() const { return *table_; }

 private:
  struct Attempt {
    size_t part = 0;
    RoutedSearcherPtr searcher;
    AttemptReason reason = AttemptReason::kFirst;
    TimePoint sent;
  };

  // A service whose answer is part of the result.
  struct Part {
    std::string service;
    std::vector<RoutedSearcherPtr> tried;    // Not to be tried now.
    std::vector<RoutedSearcherPtr> sent_to;  // By any attempt so far.
    uint32_t in_flight = 0;                  // Attempts that have not ended.
    // Attempts, in flight or ended, that are not known not to have run.
    uint32_t may_have_run_count = 0;
    uint32_t sent_count = 0;
    // Ended attempts that reached no searcher of the service.
    uint32_t not_arrived_count = 0;
    bool may_have_run = false;
    std::optional<TimePoint> hedge_at;
    std::optional<TimePoint> retry_at;
    std::optional<SearcherAnswer> answer;
    std::optional<SearcherAnswer> failure;  // The last error response.
    bool closed = false;                    // No answer is awaited any more.
    bool held_back = false;  // Sent once another part is answered.
  };

  void AddParts();
  bool Send(TimePoint now,
            const RouteTiming& timing,
            size_t index,
            AttemptReason reason,
            RequestActions& actions);
  // Rejects the request if too few parts are likely to be answered in time.
  void RejectIfUnlikely(TimePoint now,
                        Duration typical,
                        RequestActions& actions);
  double BudgetReserve(TimePoint now, AttemptReason reason) const;
  TokenDemand TokensFor(AttemptReason reason) const;
  // Expected number of answered parts, including those in flight.
  double ExpectedParts(TimePoint now) const;
  // Returns whether DataCentreSpill chooses the data centre of an attempt.
  bool MaySpill(AttemptReason reason) const;
  bool MayRetry(const Part& part) const;
  // Returns the most searchers of a service that a request may reach.
  uint32_t MaxArrivals() const;
  bool MayHedge() const;
  // Sends the parts that are held back, or only the first of them.
  void SendHeldBack(TimePoint now,
                    const RouteTiming& timing,
                    bool all,
                    RequestActions& actions);
  // Returns the end of a time for which a searcher wants no requests.
  TimePoint ClosedUntil(TimePoint now, Duration closed_for) const;
  void OnPartFailed(TimePoint now, size_t index, RequestActions& actions);
  // Cancels the attempts of `part`, or of all parts if it is empty.
  void CancelAttempts(std::optional<size_t> part,
                      RequestActions& actions) const;
  void CloseIfIdle(Part& part);
  void FinishIfDone(TimePoint now, RequestActions& actions);
  void FinishSingleIfDone(TimePoint now, RequestActions& actions);
  // Ends the request with the answer of a searcher that failed, or without an
  // answer if callers would take its status for a rejection.
  void FinishWithFailure(SearcherAnswer failure, RequestActions& actions);
  void FinishGatherIfDone(TimePoint now, RequestActions& actions);
  void Finish(RequestResult result, RequestActions& actions);
  // Takes back attempts that are not sent yet.
  void Withdraw(std::vector<AttemptToSend>& sends);
  void Reject(TimePoint now,
              Duration wait,
              RequestResult result,
              RequestActions& actions);
  Duration RequiredClosedWait(TimePoint now) const;
  void FinishWithoutAnswer(TimePoint now, RequestActions& actions);
  RequestResult Merge();
  size_t RequiredParts() const;
  // Number of parts that are answered or whose searchers still respond.
  size_t ObtainableParts(TimePoint now) const;
  bool MayHaveRun() const;

  const RouteTablePtr table_;
  const Route* const route_;
  const RequestTerms terms_;
  RequestPlanContext* const context_;
  SearcherChooser chooser_;
  const std::function<uint64_t()> next_attempt_;
  const bool idempotent_;
  const AttemptPolicy policy_;
  // Random number (0 to 1) that decides what attempts need at a searcher with a
  // limit. Drawn once, so that all parts of a query are likely to be sent, or
  // none.
  const double token_draw_;
  TimePoint response_deadline_;  // Latest time for a result of any kind.
  // Latest time to wait for further parts if the required ones are answered.
  TimePoint target_deadline_;
  TimePoint recheck_at_;        // Next check for unresponsive searchers.
  bool target_missed_ = false;  // `target_deadline_` has passed.
  std::vector<Part> parts_;
  std::unordered_map<uint64_t, Attempt> attempts_;
  uint32_t answers_ = 0;  // Attempts that a searcher ran to the end.
  uint32_t losses_ = 0;   // Attempts that were sent and got no answer.
  bool finished_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_REQUEST_PLAN_H_
