#include "greengage/coordination/request_plan.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace greengage {
namespace {

using std::chrono::milliseconds;

// Time before the caller's deadline at which the answer must be sent. It covers
// the network latency to the caller and work that is queued before the answer.
constexpr Duration kResponseMargin = milliseconds(30);

// The same before the target latency, after which an answer is of little use.
constexpr Duration kTargetMargin = milliseconds(20);

// Delay before a request is sent again to searchers that rejected it, and
// before another try at a hedge that found no searcher or no budget.
constexpr Duration kRetryDelay = milliseconds(40);

// Attempts per service beyond the maximum of the route, to make up for rejected
// ones. More would only add to the load that caused the rejections.
constexpr uint32_t kExtraRejectedAttempts = 2;

// A request that lost this many attempts, and got no answer from any searcher,
// is not sent again: it may be what ended them.
constexpr uint32_t kMaxLossesWithoutAnswer = 3;

// Fraction of the extra arrivals that is reserved for requests that lack
// required parts. It applies to retries that would only add parts beyond these.
constexpr double kCompletenessReserve = 0.5;

// Fraction of the extra arrivals that a request that lacks required parts
// leaves to more urgent ones, per rank.
constexpr double kReservePerRank = 0.2;

// Fraction of the saved tokens of a limited searcher that a request leaves to
// more urgent ones, per rank. A hedge leaves as much again.
constexpr double kTokenReservePerRank = 0.9;

// Fraction of the time for which a searcher wants no requests over which the
// instances are spread that come back after it.
constexpr double kClosedTimeSpread = 0.2;

// A searcher that has not answered for this long counts as lost rather than
// paused. A request that needs it ends then, or at its target latency if that
// is later.
constexpr Duration kLostTimeout = std::chrono::seconds(1);
constexpr Duration kRecheckInterval = milliseconds(100);

// Minimum retry delay of a rejected caller: the time in which a lost searcher
// is detected or a full queue drains.
constexpr Duration kMinRetryAfter = milliseconds(100);

// Fraction of the retry delay over which the callers of one rank are spread.
constexpr double kRetryAfterSpread = 0.2;

// Returns a random number greater than 0 and at most 1.
double DrawFraction(std::minstd_rand& random) {
  return 1 - std::uniform_real_distribution<double>(0, 1)(random);
}

}  // namespace

std::string_view AttemptReasonName(AttemptReason reason) {
  switch (reason) {
    case AttemptReason::kFirst:
      return "first";
    case AttemptReason::kHedge:
      return "hedge";
    case AttemptReason::kRetry:
      return "retry";
  }
  return "unknown";
}

std::string_view RequestOutcomeName(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kForwarded:
      return "passed_on";
    case RequestOutcome::kMerged:
      return "merged";
    case RequestOutcome::kNotRun:
      return "not_run";
    case RequestOutcome::kUnknown:
      return "unknown";
    case RequestOutcome::kTimedOut:
      return "timed_out";
    case RequestOutcome::kCallerLeft:
      return "caller_left";
  }
  return "unknown";
}

RequestPlan::RequestPlan(TimePoint now,
                         RouteTablePtr table,
                         const Route* route,
                         RequestTerms terms,
                         TimePoint deadline,
                         RequestPlanContext* context,
                         std::function<uint64_t()> next_attempt,
                         AttemptPolicy policy)
    : table_(std::move(table)),
      route_(route),
      terms_(std::move(terms)),
      context_(context),
      chooser_(context, route, &terms_),
      next_attempt_(std::move(next_attempt)),
      idempotent_(route->kind == RequestKind::kIdempotent),
      policy_(policy),
      token_draw_(DrawFraction(context->random)),
      response_deadline_(std::min<TimePoint>(deadline - kResponseMargin,
                                             now + route->timeout)),
      target_deadline_(std::min<TimePoint>(
          response_deadline_,
          now + std::max<Duration>(route->target_latency - kTargetMargin,
                                   route->target_latency / 2))) {
  AddParts();
}

void RequestPlan::AddParts() {
  if (route_->gather) {
    parts_.resize(route_->gather->shards.size());
    for (size_t i = 0; i < parts_.size(); ++i) {
      parts_[i].service = route_->gather->shards[i];
    }
    return;
  }
  parts_.resize(1);
  parts_[0].service = context_->split.Next(*route_);
}

RequestActions RequestPlan::Start(TimePoint now) {
  RequestActions actions;
  for (const Part& part : parts_) {
    context_->extra_arrivals.OnRequest(now, part.service);
  }
  const RouteTiming timing = chooser_.TimingAt(now);
  if (route_->gather) {
    RejectIfUnlikely(now, timing.typical, actions);
    if (finished_) {
      return actions;
    }
  }
  for (Part& part : parts_) {
    part.held_back = true;
  }
  SendHeldBack(now, timing, policy_ == AttemptPolicy::kParallel, actions);
  FinishIfDone(now, actions);
  return actions;
}

void RequestPlan::SendHeldBack(TimePoint now,
                               const RouteTiming& timing,
                               bool all,
                               RequestActions& actions) {
  for (size_t i = 0; i < parts_.size(); ++i) {
    if (!parts_[i].held_back) {
      continue;
    }
    parts_[i].held_back = false;
    if (!Send(now, timing, i, AttemptReason::kFirst, actions)) {
      parts_[i].closed = true;
    } else if (!all) {
      return;
    }
  }
}

void RequestPlan::RejectIfUnlikely(TimePoint now,
                                   Duration typical,
                                   RequestActions& actions) {
  // Requests of a lower rank that are late would delay urgent ones queued
  // behind them, so only urgent requests may use the time after the target
  // latency.
  const TimePoint answer_by =
      terms_.rank == Rank::kUrgent ? response_deadline_ : target_deadline_;
  std::vector<Duration> waits;
  waits.reserve(parts_.size());
  RequestResult rejection;
  for (const Part& part : parts_) {
    const std::optional<Duration> wait =
        chooser_.EstimateWait(now, typical, part.service, answer_by,
                              TokensFor(AttemptReason::kFirst));
    waits.push_back(wait.value_or(kMaxRetryAfter));
    rejection.unlikely_parts += wait && *wait > Duration::zero() ? 1 : 0;
  }
  // Find the wait after which the last required part is likely to be answered.
  const auto last_required =
      waits.begin() + static_cast<std::ptrdiff_t>(RequiredParts()) - 1;
  std::nth_element(waits.begin(), last_required, waits.end());
  if (*last_required > Duration::zero()) {
    rejection.cause = "too few shards are likely to answer in time";
    Reject(now, *last_required, std::move(rejection), actions);
  }
}

// Extra arrivals go to the requests that need the fewest of them to be
// answered. The more parts a request lacks, the more of the budget it must
// leave to others.
double RequestPlan::BudgetReserve(TimePoint now, AttemptReason reason) const {
  if (!route_->gather) {
    return 0;
  }
  const double missing =
      static_cast<double>(RequiredParts()) - ExpectedParts(now);
  if (missing <= 0) {
    return reason == AttemptReason::kHedge ? 0 : kCompletenessReserve;
  }
  return std::min(
      1.0, missing / static_cast<double>(parts_.size()) +
               kReservePerRank * static_cast<double>(IndexOf(terms_.rank)));
}

TokenDemand RequestPlan::TokensFor(AttemptReason reason) const {
  const size_t rank = std::min(
      IndexOf(terms_.rank) + (reason == AttemptReason::kHedge ? size_t{1} : 0),
      kRankCount - 1);
  const auto position = static_cast<double>(rank);
  return {(position + token_draw_) / static_cast<double>(kRankCount),
          std::min(1.0, kTokenReservePerRank * position)};
}

double RequestPlan::ExpectedParts(TimePoint now) const {
  double expected = 0;
  for (const Part& part : parts_) {
    expected += part.answer ? 1 : 0;
  }
  for (const auto& [id, attempt] : attempts_) {
    const Part& part = parts_[attempt.part];
    if (!part.answer) {
      expected += (1 - attempt.searcher->ErrorRate(now)) / part.in_flight;
    }
  }
  return expected;
}

bool RequestPlan::Send(TimePoint now,
                       const RouteTiming& timing,
                       size_t index,
                       AttemptReason reason,
                       RequestActions& actions) {
  Part& part = parts_[index];
  // A hedge helps only if it is likely to be faster, so it needs a healthy
  // searcher.
  const SearcherChoice choice = chooser_.Choose(
      now, timing.typical, part.service, part.tried,
      {reason == AttemptReason::kHedge, MaySpill(reason), TokensFor(reason)});
  const RoutedSearcherPtr& searcher = choice.searcher;
  if (!searcher) {
    return false;
  }
  // The budget bounds the arrivals at the service beyond the first.
  if (part.sent_count > part.not_arrived_count &&
      !context_->extra_arrivals.TrySpend(now, part.service,
                                         BudgetReserve(now, reason))) {
    return false;
  }
  const uint64_t id = next_attempt_();
  attempts_[id] = Attempt{index, searcher, reason, now};
  const bool is_repeat = std::find(part.sent_to.begin(), part.sent_to.end(),
                                   searcher) != part.sent_to.end();
  part.tried.push_back(searcher);
  part.sent_to.push_back(searcher);
  ++part.in_flight;
  ++part.may_have_run_count;
  ++part.sent_count;
  part.hedge_at = now + timing.hedge_delay + choice.distance;
  part.retry_at.reset();
  searcher->OnSent(now, id, context_->LimitShareOf(*searcher));
  actions.sends.push_back({id, searcher, reason,
                           response_deadline_ + kResponseMargin,
                           choice.expected, is_repeat, TokensFor(reason)});
  return true;
}

// The slowest part decides when a gathered request is answered, so each part
// goes to the searcher with the best estimate. So does every further attempt.
bool RequestPlan::MaySpill(AttemptReason reason) const {
  return reason == AttemptReason::kFirst && !route_->gather;
}

// A non-idempotent request is retried only if no attempt may have run.
bool RequestPlan::MayRetry(const Part& part) const {
  if (!idempotent_ && (part.may_have_run || part.in_flight > 0)) {
    return false;
  }
  if (WasLostEverywhere() ||
      (policy_ == AttemptPolicy::kOneAtATime && losses_ > 0 && answers_ == 0)) {
    return false;
  }
  return part.may_have_run_count < route_->max_attempts &&
         part.sent_count - part.not_arrived_count < MaxArrivals();
}

// An attempt that arrives nowhere adds no load, and others may still be left.
uint32_t RequestPlan::MaxArrivals() const {
  return route_->max_attempts + kExtraRejectedAttempts;
}

bool RequestPlan::WasLostEverywhere() const {
  return answers_ == 0 && losses_ >= kMaxLossesWithoutAnswer;
}

bool RequestPlan::MayHedge() const {
  return idempotent_ && policy_ == AttemptPolicy::kParallel;
}

RequestActions RequestPlan::OnAttemptEnded(TimePoint now,
                                           uint64_t id,
                                           AttemptOutcome outcome) {
  RequestActions actions;
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return actions;
  }
  const Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  const std::string& data_centre = attempt.searcher->entry().data_centre;
  const Duration distance = context_->distances.Of(data_centre);
  attempt.searcher->OnEnded(now, id, outcome, chooser_.TypicalLatency(now),
                            distance);
  if (outcome.closed_for) {
    attempt.searcher->OnClosed(ClosedUntil(now, *outcome.closed_for));
  }
  Part& part = parts_[attempt.part];
  --part.in_flight;
  if (outcome.end == AttemptEnd::kAnswered) {
    context_->distances.Record(now, data_centre, now - attempt.sent);
    context_->hedges.Record(now, route_->name, RankOf(*route_),
                            now - attempt.sent - distance);
  }
  answers_ +=
      outcome.end == AttemptEnd::kAnswered || outcome.end == AttemptEnd::kFailed
          ? 1
          : 0;
  losses_ += outcome.end == AttemptEnd::kLost ? 1 : 0;
  if (finished_) {
    return actions;
  }
  part.not_arrived_count += ProvesNotArrived(outcome.end) ? 1 : 0;
  if (ProvesNotRun(outcome.end)) {
    --part.may_have_run_count;
  } else {
    part.may_have_run = true;
  }
  if (outcome.end == AttemptEnd::kAnswered) {
    if (!part.answer) {
      part.answer = std::move(outcome.answer);
      part.closed = true;
      CancelAttempts(attempt.part, actions);
    }
  } else {
    if (outcome.end == AttemptEnd::kFailed) {
      part.failure = std::move(outcome.answer);
    }
    OnPartFailed(now, attempt.part, actions);
  }
  const bool may_send_next =
      answers_ > 0 || (losses_ == 0 && attempts_.empty());
  if (policy_ == AttemptPolicy::kOneAtATime && may_send_next) {
    SendHeldBack(now, chooser_.TimingAt(now), answers_ > 0, actions);
  }
  FinishIfDone(now, actions);
  return actions;
}

// Attempts that are no longer needed would delay the requests queued behind
// them at their searcher. A searcher drops a request when its connection
// closes.
void RequestPlan::CancelAttempts(std::optional<size_t> part,
                                 RequestActions& actions) const {
  for (const auto& [id, attempt] : attempts_) {
    if (!part || attempt.part == *part) {
      actions.cancels.push_back(id);
    }
  }
}

// The instances that a searcher turned away must not all come back at once.
TimePoint RequestPlan::ClosedUntil(TimePoint now, Duration closed_for) const {
  std::uniform_real_distribution<double> spread(1, 1 + kClosedTimeSpread);
  return now + std::chrono::duration_cast<Duration>(closed_for *
                                                    spread(context_->random));
}

void RequestPlan::OnPartFailed(TimePoint now,
                               size_t index,
                               RequestActions& actions) {
  Part& part = parts_[index];
  if (part.closed || part.in_flight > 0) {
    return;
  }
  if (MayRetry(part) && now < response_deadline_) {
    if (Send(now, chooser_.TimingAt(now), index, AttemptReason::kRetry,
             actions)) {
      return;
    }
    // All searchers were tried. Those that rejected the request may have free
    // capacity soon. Those that were not reached are tried again only a few
    // times.
    if (part.may_have_run_count < part.sent_count &&
        part.sent_count < MaxArrivals() &&
        now + kRetryDelay < response_deadline_) {
      part.tried.clear();
      part.retry_at = now + kRetryDelay;
      part.hedge_at.reset();
      return;
    }
  }
  CloseIfIdle(part);
}

void RequestPlan::CloseIfIdle(Part& part) {
  if (part.in_flight == 0 && !part.retry_at) {
    part.closed = true;
  }
}

RequestActions RequestPlan::OnTimer(TimePoint now) {
  RequestActions actions;
  if (finished_) {
    return actions;
  }
  for (size_t i = 0; i < parts_.size(); ++i) {
    Part& part = parts_[i];
    if (part.closed) {
      continue;
    }
    if (part.retry_at && now >= *part.retry_at) {
      part.retry_at.reset();
      if (!MayRetry(part) || !Send(now, chooser_.TimingAt(now), i,
                                   AttemptReason::kRetry, actions)) {
        CloseIfIdle(part);
      }
    } else if (part.hedge_at && now >= *part.hedge_at) {
      part.hedge_at.reset();
      if (MayHedge() && MayRetry(part) &&
          !Send(now, chooser_.TimingAt(now), i, AttemptReason::kHedge,
                actions)) {
        part.hedge_at = now + kRetryDelay;
      }
    }
  }
  FinishIfDone(now, actions);
  return actions;
}

RequestActions RequestPlan::OnCallerLeft(TimePoint /*now*/) {
  RequestActions actions;
  if (!finished_) {
    RequestResult result;
    result.outcome = RequestOutcome::kCallerLeft;
    result.cause = "the caller closed its connection";
    Finish(std::move(result), actions);
  }
  return actions;
}

RequestActions RequestPlan::OnForbidden(RequestActions actions,
                                        Duration retry_after,
                                        std::string_view cause) {
  if (!finished_) {
    Withdraw(actions.sends);
    RequestResult result;
    result.outcome =
        MayHaveRun() ? RequestOutcome::kUnknown : RequestOutcome::kNotRun;
    result.retry_after = retry_after;
    result.cause = cause;
    Finish(std::move(result), actions);
  }
  return actions;
}

std::optional<TimePoint> RequestPlan::next_timer() const {
  if (finished_) {
    return std::nullopt;
  }
  TimePoint next = response_deadline_;
  if (route_->gather) {
    next = std::min(next, target_missed_ ? recheck_at_ : target_deadline_);
  }
  for (const Part& part : parts_) {
    if (part.closed) {
      continue;
    }
    if (part.hedge_at) {
      next = std::min(next, *part.hedge_at);
    }
    if (part.retry_at) {
      next = std::min(next, *part.retry_at);
    }
  }
  return next;
}

void RequestPlan::FinishIfDone(TimePoint now, RequestActions& actions) {
  if (finished_) {
    return;
  }
  if (route_->gather) {
    FinishGatherIfDone(now, actions);
  } else {
    FinishSingleIfDone(now, actions);
  }
}

void RequestPlan::FinishSingleIfDone(TimePoint now, RequestActions& actions) {
  Part& part = parts_.front();
  if (part.answer) {
    RequestResult result;
    result.outcome = RequestOutcome::kForwarded;
    result.answer = *std::move(part.answer);
    Finish(std::move(result), actions);
  } else if (part.closed && part.failure) {
    FinishWithFailure(*std::move(part.failure), actions);
  } else if (part.closed || now >= response_deadline_) {
    FinishWithoutAnswer(now, actions);
  }
}

void RequestPlan::FinishWithFailure(SearcherAnswer failure,
                                    RequestActions& actions) {
  RequestResult result;
  if (PromisesNotRun(failure.status)) {
    result.outcome = RequestOutcome::kUnknown;
    result.cause = "the searcher's status would promise that it has not run";
  } else {
    result.outcome = RequestOutcome::kForwarded;
    result.cause = "the searcher answered with a failure";
    result.answer = std::move(failure);
  }
  Finish(std::move(result), actions);
}

void RequestPlan::FinishGatherIfDone(TimePoint now, RequestActions& actions) {
  size_t answered = 0;
  size_t pending = 0;
  for (const Part& part : parts_) {
    answered += part.answer ? 1 : 0;
    pending += part.closed || (part.held_back && losses_ > 0) ? 0 : 1;
  }
  const size_t required = RequiredParts();
  const bool enough = answered >= required;
  target_missed_ = now >= target_deadline_;
  recheck_at_ = now + kRecheckInterval;
  if (enough && (pending == 0 || target_missed_)) {
    Finish(Merge(), actions);
  } else if (answered + pending < required || now >= response_deadline_ ||
             (target_missed_ && ObtainableParts(now) < required)) {
    FinishWithoutAnswer(now, actions);
  }
}

size_t RequestPlan::ObtainableParts(TimePoint now) const {
  std::vector<bool> obtainable(parts_.size());
  for (size_t i = 0; i < parts_.size(); ++i) {
    obtainable[i] = parts_[i].answer || parts_[i].retry_at;
  }
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.searcher->UnansweredFor(now) < kLostTimeout) {
      obtainable[attempt.part] = true;
    }
  }
  return static_cast<size_t>(
      std::count(obtainable.begin(), obtainable.end(), true));
}

size_t RequestPlan::RequiredParts() const {
  // Allow for rounding of the decimal fraction: 0.9 of 20 must not become 19.
  constexpr double kRounding = 1e-9;
  const auto all = static_cast<double>(parts_.size());
  const double required =
      std::ceil(route_->gather->min_coverage * all - kRounding);
  return static_cast<size_t>(std::clamp(required, 1.0, all));
}

bool RequestPlan::MayHaveRun() const {
  return std::any_of(parts_.begin(), parts_.end(), [](const Part& part) {
    return part.may_have_run || part.in_flight > 0;
  });
}

void RequestPlan::Withdraw(std::vector<AttemptToSend>& sends) {
  for (const AttemptToSend& send : sends) {
    const auto found = attempts_.find(send.id);
    found->second.searcher->OnWithdrawn(send.id);
    --parts_[found->second.part].in_flight;
    attempts_.erase(found);
  }
  sends.clear();
}

RequestResult RequestPlan::Merge() {
  RequestResult result;
  result.outcome = RequestOutcome::kMerged;
  for (Part& part : parts_) {
    if (part.answer) {
      result.parts.push_back(std::move(*part.answer));
    } else {
      ++result.missing_parts;
    }
  }
  result.cause = result.missing_parts > 0 ? "parts are missing" : "";
  return result;
}

// Returns the time after which the searchers of enough parts accept requests.
Duration RequestPlan::RequiredClosedWait(TimePoint now) const {
  const Duration typical = chooser_.TypicalLatency(now);
  std::vector<Duration> waits;
  waits.reserve(parts_.size());
  for (const Part& part : parts_) {
    waits.push_back(chooser_.ClosedWait(now, typical, part.service));
  }
  const size_t required = route_->gather ? RequiredParts() : 1;
  const auto last_required =
      waits.begin() + static_cast<std::ptrdiff_t>(required) - 1;
  std::nth_element(waits.begin(), last_required, waits.end());
  return *last_required;
}

// Spreads the retry delays so that the callers of more urgent ranks retry
// first.
void RequestPlan::Reject(TimePoint now,
                         Duration wait,
                         RequestResult result,
                         RequestActions& actions) {
  const auto rank = static_cast<double>(IndexOf(terms_.rank));
  std::uniform_real_distribution<double> spread(
      1 + rank * kRetryAfterSpread, 1 + (rank + 1) * kRetryAfterSpread);
  const Duration retry_after =
      std::max(std::clamp(wait, kMinRetryAfter, kMaxRetryAfter),
               RequiredClosedWait(now));
  result.outcome = RequestOutcome::kNotRun;
  result.retry_after = std::chrono::duration_cast<Duration>(
      retry_after * spread(context_->random));
  Finish(std::move(result), actions);
}

void RequestPlan::FinishWithoutAnswer(TimePoint now, RequestActions& actions) {
  RequestResult result;
  if (!MayHaveRun()) {
    const Duration typical = chooser_.TypicalLatency(now);
    const Duration limit_wait =
        route_->gather
            ? Duration::zero()
            : chooser_.EstimateLimitWait(now, typical, parts_.front().service,
                                         TokensFor(AttemptReason::kFirst));
    result.cause = limit_wait > Duration::zero()
                       ? "the searchers take no more requests for now"
                       : "no searcher could take it";
    Reject(now, std::max(typical * 2, limit_wait), std::move(result), actions);
    return;
  }
  const bool timed_out = now >= response_deadline_;
  result.outcome =
      timed_out ? RequestOutcome::kTimedOut : RequestOutcome::kUnknown;
  result.cause = timed_out ? "its time was over" : "attempts were lost";
  Finish(std::move(result), actions);
}

void RequestPlan::Finish(RequestResult result, RequestActions& actions) {
  finished_ = true;
  actions.result = std::move(result);
  // Attempts that were to be sent in the same step are no longer needed.
  Withdraw(actions.sends);
  actions.cancels.clear();
  CancelAttempts(std::nullopt, actions);
}

}  // namespace greengage
