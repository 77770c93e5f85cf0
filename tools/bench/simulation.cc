#include "tools/bench/simulation.h"

#include <algorithm>
#include <utility>

#include "tools/bench/naive_plan.h"

namespace greengage::bench {

namespace {

constexpr Duration kConnectionCheckPeriod = std::chrono::milliseconds(50);
constexpr double kRetryBurstPerShard = 4;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

bool HasMixedVersions(const Answer& answer) {
  for (const Hit& hit : answer.hits) {
    if (hit.text != answer.hits.front().text) {
      return true;
    }
  }
  return false;
}

}  // namespace

Simulation::Simulation(Scenario scenario, uint64_t seed)
    : scenario_(std::move(scenario)),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      configuration_(
          std::make_shared<Configuration>(MakeConfiguration(scenario_.shape))),
      tracker_(SearcherStateOptions{},
               [this](TimePoint, const Endpoint&, SearcherTracker::Change c) {
                 const bool ejected = c == SearcherTracker::Change::kEjected;
                 result_.ejections += ejected ? 1 : 0;
               }),
      hedge_policy_(HedgeOptions{}),
      hedge_budget_(configuration_->limits.hedge_percent),
      retry_budget_(
          configuration_->limits.retry_percent -
              configuration_->limits.hedge_percent,
          kRetryBurstPerShard * static_cast<double>(scenario_.shape.shards)),
      admission_(AdmissionOptions{}) {
  context_.searchers = &tracker_;
  context_.hedge_policy = &hedge_policy_;
  context_.hedge_budget = &hedge_budget_;
  context_.retry_budget = &retry_budget_;
  context_.configuration = [this] { return configuration_; };
  tracker_.Apply(events_.now(), *configuration_);
  BuildSearchers(seed);
}

void Simulation::BuildSearchers(uint64_t seed) {
  const Shape& shape = scenario_.shape;
  for (size_t i = 0; i < shape.shards * shape.replicas; ++i) {
    searchers_.push_back(std::make_unique<FakeSearcher>(
        &events_, &calls_, &shape, i, seed, [this, i](CallId id, SubAnswer a) {
          events_.After(scenario_.shape.searcher_latency,
                        [this, i, id, answer = std::move(a)]() mutable {
                          owners_[i]->OnAnswer(id, std::move(answer));
                        });
        }));
    searchers_[i]->faults().returns_hits = scenario_.returns_hits;
    OwnerOptions options;
    options.connections = shape.connections;
    options.replaces_silent_connections = !scenario_.naive;
    options.queue.slots = shape.SlotsOf(i);
    options.queue.extra_outstanding = scenario_.extra_outstanding;
    options.queue.ordering = scenario_.ordering;
    options.queue.extra_send_delay_ratio = scenario_.extra_send_delay_ratio;
    if (scenario_.naive) {
      options.queue.ordering = RankOrdering::kFifo;
      options.queue.extra_outstanding = shape.connections - options.queue.slots;
    }
    owners_.push_back(std::make_unique<FakeOwner>(
        &events_, &calls_, searchers_[i].get(), &shape, seed + i, options,
        [this](CallId id, SubAnswer answer) { OnEnd(id, std::move(answer)); }));
  }
}

RunResult Simulation::Run() {
  const TimePoint end = MeasurementStart() + scenario_.measured;
  if (scenario_.prepare) {
    scenario_.prepare(*this);
  }
  for (const Rank rank : kAllRanks) {
    ScheduleArrival(rank);
  }
  CheckConnections();
  events_.RunUntil(end + scenario_.deadline);
  result_.seconds = std::chrono::duration<double>(scenario_.measured).count();
  for (const auto& owner : owners_) {
    const Duration silence = owner->MaxSilentTime(end + scenario_.deadline);
    result_.max_silent_time_ms =
        std::max(result_.max_silent_time_ms, Milliseconds(silence));
  }
  result_.capacity = scenario_.shape.CapacityPerSecond();
  return std::move(result_);
}

void Simulation::Kill(size_t searcher) {
  searchers_[searcher]->Kill();
  owners_[searcher]->OnKilled();
}

void Simulation::Restart(size_t searcher) {
  searchers_[searcher]->faults().dead = false;
}

void Simulation::ActivateConfiguration(Configuration configuration) {
  configuration_ =
      std::make_shared<const Configuration>(std::move(configuration));
  tracker_.Apply(events_.now(), *configuration_);
}

void Simulation::ScheduleArrival(Rank rank) {
  const double rate = RateOf(rank);
  if (rate <= 0) {
    events_.At(std::max(events_.now() + kConnectionCheckPeriod, TimePoint()),
               [this, rank] { ScheduleArrival(rank); });
    return;
  }
  std::exponential_distribution<double> gap(rate);
  events_.After(FromSeconds(gap(random_)), [this, rank] {
    OfferQuery(rank);
    ScheduleArrival(rank);
  });
}

double Simulation::RateOf(Rank rank) const {
  const TimePoint now = events_.now();
  if (now >= MeasurementStart() + scenario_.measured) {
    return 0;
  }
  const bool flooded = scenario_.flood && now >= MeasurementStart();
  const RankRates& load = flooded ? *scenario_.flood : scenario_.load;
  return load[IndexOf(rank)] * scenario_.shape.CapacityPerSecond();
}

bool Simulation::IsMeasured() const {
  return events_.now() >= MeasurementStart();
}

void Simulation::OfferQuery(Rank rank) {
  Query query;
  query.request_id = "q" + std::to_string(queries_.size());
  query.service = kServiceName;
  query.rank = rank;
  query.limit = static_cast<uint32_t>(scenario_.shape.shards);
  query.deadline = events_.now() + scenario_.deadline;
  const bool measured = IsMeasured();
  RankResult& result = result_.ranks[IndexOf(rank)];
  result.offered += measured ? 1 : 0;
  if (!scenario_.naive) {
    const auto refusal = admission_.Admit(events_.now(), query);
    if (refusal) {
      result.rejected += measured ? 1 : 0;
      result_.rejections_without_retry_after +=
          refusal->retry_after > Duration::zero() ? 0 : 1;
      return;
    }
  }
  StartQuery(std::move(query), measured);
}

void Simulation::StartQuery(Query query, bool measured) {
  const auto index = static_cast<uint32_t>(queries_.size());
  LiveQuery live;
  live.driver = MakeDriver(query);
  live.query = std::move(query);
  live.started = events_.now();
  live.measured = measured;
  queries_.push_back(std::move(live));
  QueryActions actions = queries_[index].driver->Start(events_.now());
  ExecuteActions(index, std::move(actions));
}

std::unique_ptr<QueryDriver> Simulation::MakeDriver(const Query& query) {
  const uint64_t seed = random_();
  if (scenario_.naive) {
    return std::make_unique<NaivePlan>(query, configuration_, &context_, seed);
  }
  return std::make_unique<PolicyDriver>(query, configuration_, &context_, seed);
}

void Simulation::ExecuteActions(uint32_t index, QueryActions actions) {
  for (QueryAction& action : actions) {
    if (auto* send = std::get_if<SendAction>(&action)) {
      Send(index, *send);
    } else if (const auto* cancel = std::get_if<CancelAction>(&action)) {
      Cancel(*cancel);
    } else if (const auto* answer = std::get_if<AnswerAction>(&action)) {
      Finish(index, answer->answer);
    }
  }
  ScheduleTimer(index);
}

void Simulation::Send(uint32_t index, const SendAction& action) {
  ++result_.sent;
  switch (action.reason) {
    case SendReason::kFirst:
      ++result_.first_sub_requests;
      break;
    case SendReason::kHedge:
      ++result_.hedges;
      break;
    case SendReason::kRetry:
      ++result_.retries;
      break;
    case SendReason::kRerun:
      ++result_.reruns;
      break;
  }
  SubCall call;
  call.query = index;
  call.searcher = SearcherIndexOf(action.request.searcher);
  call.request = action.request;
  const CallId id = calls_.Add(std::move(call));
  calls_by_id_.emplace(action.request.id, id);
  if (scenario_.tracks_hedges) {
    TrackHedge(index, id, action);
  }
  events_.After(scenario_.shape.owner_latency,
                [this, id] { owners_[calls_.Find(id)->searcher]->Submit(id); });
}

// A sub-request that a silent connection swallowed must be hedged no later than
// one hedge delay after it was sent.
void Simulation::TrackHedge(uint32_t index,
                            CallId id,
                            const SendAction& action) {
  LiveQuery& live = queries_[index];
  const TimePoint now = events_.now();
  if (action.reason == SendReason::kFirst) {
    const Duration delay =
        hedge_policy_.Delay(now, live.query.service, live.query.rank);
    live.first_attempts[action.request.shard] = {id, now + delay};
    return;
  }
  const auto first = live.first_attempts.extract(action.request.shard);
  if (first.empty()) {
    return;
  }
  const SubCall* call = calls_.Find(first.mapped().call);
  if (call != nullptr && call->lost_on_silent_connection) {
    ++result_.hedged_after_silent_loss;
    result_.max_hedge_lateness_ms =
        std::max(result_.max_hedge_lateness_ms,
                 Milliseconds(now - first.mapped().hedge_due));
  }
}

void Simulation::Cancel(const CancelAction& action) {
  const auto it = calls_by_id_.find(action.id);
  if (it == calls_by_id_.end()) {
    return;
  }
  const CallId id = it->second;
  calls_by_id_.erase(it);
  events_.After(scenario_.shape.owner_latency, [this, id] {
    const SubCall* call = calls_.Find(id);
    if (call != nullptr) {
      owners_[call->searcher]->Cancel(id);
    }
  });
}

void Simulation::ScheduleTimer(uint32_t index) {
  LiveQuery& live = queries_[index];
  if (!live.driver || live.driver->next_timer() >= live.timer_at) {
    return;
  }
  live.timer_at = live.driver->next_timer();
  events_.At(live.timer_at, [this, index] { OnTimer(index); });
}

void Simulation::OnTimer(uint32_t index) {
  LiveQuery& live = queries_[index];
  if (!live.driver || events_.now() < live.timer_at) {
    return;
  }
  live.timer_at = TimePoint::max();
  QueryActions actions = live.driver->OnTimer(events_.now());
  ExecuteActions(index, std::move(actions));
}

void Simulation::OnEnd(CallId id, SubAnswer answer) {
  events_.After(scenario_.shape.owner_latency,
                [this, id, end = std::move(answer)]() mutable {
                  Deliver(id, std::move(end));
                });
}

void Simulation::Deliver(CallId id, SubAnswer answer) {
  const SubCall* call = calls_.Find(id);
  if (call == nullptr) {
    return;
  }
  const uint32_t index = call->query;
  calls_by_id_.erase(call->request.id);
  calls_.Remove(id);
  LiveQuery& live = queries_[index];
  if (!live.driver) {
    return;
  }
  admission_.OnSubAnswer(events_.now(), live.query.service, live.query.rank,
                         answer);
  QueryActions actions =
      live.driver->OnSubAnswer(events_.now(), std::move(answer));
  ExecuteActions(index, std::move(actions));
}

void Simulation::Finish(uint32_t index, const Answer& answer) {
  LiveQuery& live = queries_[index];
  if (!scenario_.naive) {
    admission_.OnEnded(events_.now(), live.query, answer);
  }
  const bool in_time =
      IsMeasured() && events_.now() <= MeasurementStart() + scenario_.measured;
  result_.ranks[IndexOf(live.query.rank)].completed +=
      in_time && answer.whole() ? 1 : 0;
  if (live.measured) {
    RecordAnswer(live, answer);
  }
  live.driver.reset();
}

void Simulation::RecordAnswer(const LiveQuery& live, const Answer& answer) {
  RankResult& result = result_.ranks[IndexOf(live.query.rank)];
  const Duration taken = events_.now() - live.started;
  const Duration counted =
      answer.whole() ? taken : std::max(taken, scenario_.deadline);
  result.latencies_ms.push_back(
      Milliseconds(counted + 2 * scenario_.shape.client_latency));
  result_.mixed_versions += HasMixedVersions(answer) ? 1 : 0;
  result_.inconsistent_coverage +=
      scenario_.naive || IsCoverageConsistent(answer) ? 0 : 1;
  if (answer.whole()) {
    ++result.whole;
  } else if (answer.outcome == Outcome::kAnswered) {
    ++result.partial;
  } else {
    ++result.failed;
  }
}

// Covered and missing ranges must tile the key space.
bool Simulation::IsCoverageConsistent(const Answer& answer) const {
  std::vector<KeyRange> ranges = answer.covered;
  for (const MissingRange& missing : answer.missing) {
    ranges.push_back(missing.range);
  }
  std::sort(ranges.begin(), ranges.end());
  uint64_t next = 0;
  for (const KeyRange& range : ranges) {
    if (range.begin != next) {
      return false;
    }
    next = range.end;
  }
  return next == configuration_->services.at(kServiceName).key_space;
}

void Simulation::CheckConnections() {
  for (const auto& owner : owners_) {
    owner->CheckConnections();
  }
  events_.After(kConnectionCheckPeriod, [this] { CheckConnections(); });
}

Comparison Compare(Scenario scenario, uint64_t seed) {
  Comparison comparison;
  scenario.naive = true;
  comparison.baseline = Simulation(scenario, seed).Run();
  scenario.naive = false;
  comparison.policy = Simulation(scenario, seed).Run();
  return comparison;
}

}  // namespace greengage::bench
