#include "tools/bench/fake_searcher.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace greengage::bench {

namespace {

constexpr Duration kShedRetryAfter = std::chrono::milliseconds(20);

Duration FromMilliseconds(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

FakeSearcher::FakeSearcher(EventQueue* events,
                           SubCallTable* calls,
                           const Shape* shape,
                           size_t index,
                           uint64_t seed,
                           AnswerHook on_answer)
    : events_(events),
      calls_(calls),
      shape_(shape),
      slots_(shape->SlotsOf(index)),
      on_answer_(std::move(on_answer)),
      random_(static_cast<std::minstd_rand::result_type>(seed * 1000003 +
                                                         index * 7919 + 1)) {}

void FakeSearcher::Arrive(CallId id) {
  const SubCall* call = calls_->Find(id);
  if (call == nullptr || faults_.dead) {
    return;
  }
  last_arrival_ = events_->now();
  const std::optional<Refusal> refusal = RejectionFor(call->request);
  if (refusal) {
    Reject(id, call->request, *refusal);
    return;
  }
  waiting_.push_back(id);
  StartNext();
}

void FakeSearcher::Cancel(CallId id) {
  std::erase(waiting_, id);
  if (std::erase(running_, id) > 0) {
    StartNext();
  }
}

void FakeSearcher::Kill() {
  waiting_.clear();
  running_.clear();
  faults_.dead = true;
}

void FakeSearcher::StartCold(double factor, Duration warm_up) {
  cold_factor_ = factor;
  cold_since_ = events_->now();
  warm_up_ = warm_up;
}

std::optional<Refusal> FakeSearcher::RejectionFor(
    const SubRequest& request) const {
  if (faults_.draining && faults_.reports_draining) {
    return Refusal::kDraining;
  }
  if (request.index_version != 0 &&
      (request.index_version < faults_.oldest_version ||
       request.index_version > faults_.newest_version)) {
    return Refusal::kVersionNotHeld;
  }
  if (faults_.held_range && !faults_.held_range->Covers(request.range)) {
    return Refusal::kRangeNotHeld;
  }
  if (waiting_.size() >= faults_.shed_queue_length) {
    return Refusal::kShed;
  }
  return std::nullopt;
}

void FakeSearcher::Reject(CallId id,
                          const SubRequest& request,
                          Refusal refusal) {
  SubAnswer answer;
  answer.id = request.id;
  answer.request_id = request.request_id;
  answer.searcher = request.searcher;
  answer.outcome = Outcome::kNotRun;
  answer.refusal = refusal;
  answer.retry_after = kShedRetryAfter;
  answer.load = Load();
  on_answer_(id, std::move(answer));
}

void FakeSearcher::StartNext() {
  while (running_.size() < slots_ && !waiting_.empty()) {
    const CallId id = waiting_.front();
    waiting_.pop_front();
    if (calls_->Find(id) != nullptr) {
      Start(id);
    }
  }
}

void FakeSearcher::Start(CallId id) {
  running_.push_back(id);
  const TimePoint start = std::max(events_->now(), faults_.paused_until);
  events_->At(start + ServiceTime(), [this, id] { Complete(id); });
}

void FakeSearcher::Complete(CallId id) {
  if (std::find(running_.begin(), running_.end(), id) == running_.end()) {
    return;
  }
  if (events_->now() < faults_.paused_until) {
    events_->At(faults_.paused_until, [this, id] { Complete(id); });
    return;
  }
  std::erase(running_, id);
  const SubCall* call = calls_->Find(id);
  if (call != nullptr) {
    on_answer_(id, AnswerFor(call->request));
  }
  StartNext();
}

SubAnswer FakeSearcher::AnswerFor(const SubRequest& request) const {
  SubAnswer answer;
  answer.id = request.id;
  answer.request_id = request.request_id;
  answer.searcher = request.searcher;
  answer.outcome = Outcome::kAnswered;
  answer.range = request.range;
  answer.index_version = request.index_version != 0 ? request.index_version
                                                    : faults_.newest_version;
  answer.load = Load();
  if (faults_.returns_hits) {
    answer.hits.push_back(
        {request.range.begin, 1, std::to_string(answer.index_version)});
  }
  return answer;
}

Duration FakeSearcher::ServiceTime() {
  std::lognormal_distribution<double> usual(std::log(shape_->service_median_ms),
                                            shape_->service_sigma);
  const double warmth = std::min(
      1.0, std::chrono::duration<double>(events_->now() - cold_since_) /
               std::chrono::duration<double>(warm_up_));
  const double cold = cold_factor_ + (1 - cold_factor_) * warmth;
  Duration time = FromMilliseconds(usual(random_) * cold * faults_.slowdown);
  std::uniform_real_distribution<double> chance(0, 1);
  if (chance(random_) < faults_.straggler_share) {
    std::uniform_int_distribution<int64_t> extra(
        faults_.min_straggler_delay.count(),
        faults_.max_straggler_delay.count());
    time += Duration(extra(random_));
  }
  return time;
}

SearcherLoad FakeSearcher::Load() const {
  SearcherLoad load;
  load.running = static_cast<uint32_t>(running_.size());
  load.queued =
      faults_.reported_queue.value_or(static_cast<uint32_t>(waiting_.size()));
  load.oldest_version = faults_.oldest_version;
  load.newest_version = faults_.newest_version;
  load.draining = faults_.draining && faults_.reports_draining;
  return load;
}

}  // namespace greengage::bench
