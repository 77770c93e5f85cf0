#include "tools/bench/routed_fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "tools/bench/routed_driver.h"
#include "tools/bench/routed_limit_use.h"

namespace greengage::bench {
namespace {

// Maximum number of retries by the caller of a request that was not answered.
constexpr int kMaxCallerRetries = 1;

// A rejection is prompt if it takes at most the target latency divided by this.
constexpr int kPromptRejectionDivisor = 4;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

double FleetLoadResult::CreditShare() const {
  return offered == 0 ? 0 : credit / static_cast<double>(offered);
}

double FleetLoadResult::MeanUnansweredMs() const {
  const uint64_t count = rejected + failed;
  return count == 0 ? 0
                    : std::chrono::duration<double, std::milli>(unanswered_time)
                              .count() /
                          static_cast<double>(count);
}

double FleetResult::ExtraPercent() const {
  return first_arrivals == 0 ? 0
                             : 100 * static_cast<double>(extra_arrivals) /
                                   static_cast<double>(first_arrivals);
}

struct RoutedFleet::Instance {
  Instance(std::string own_data_centre, const FleetShape& shape, size_t index)
      : data_centre(std::move(own_data_centre)),
        context({[](const RoutedSearcher&) {},
                 [](const RoutedSearcher&, std::string_view) {}},
                kRouteHedgeOptions,
                data_centre) {
    context.extra_arrivals = ExtraArrivalBudget(
        InstanceLimits(shape.extra_arrivals, shape.instances));
    const LimitShare share{
        InstanceShare(1, shape.instances),
        static_cast<double>(index) / static_cast<double>(shape.instances)};
    context.limit_share = [share](const std::string&) { return share; };
  }

  const std::string data_centre;
  RequestPlanContext context;
};

struct RoutedFleet::Searcher {
  SearcherEntry entry;
  FleetSearcherFaults faults;
  std::vector<uint64_t> running;
  std::deque<uint64_t> waiting;
  TimePoint paused_until;
  FleetLimitUse limit_use;
};

struct RoutedFleet::Request {
  size_t load = 0;
  size_t instance = 0;
  TimePoint sent;  // Start of the latency of its answer.
  bool was_rejected = false;
  int retries = 0;  // Retries by the caller.
  bool measured = false;
  bool answered = false;
  std::unique_ptr<RoutedDriver> driver;
  std::optional<TimePoint> timer_at;
};

struct RoutedFleet::Attempt {
  uint64_t request = 0;
  size_t searcher = 0;
};

RoutedFleet::RoutedFleet(FleetScenario scenario, uint64_t seed)
    : scenario_(std::move(scenario)),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {
  result_.loads.resize(scenario_.shape.loads.size());
  Build();
}

RoutedFleet::~RoutedFleet() = default;

size_t RoutedFleet::searchers() const {
  return searchers_.size();
}

FleetSearcherFaults& RoutedFleet::faults(size_t searcher) {
  return searchers_[searcher]->faults;
}

void RoutedFleet::Build() {
  const FleetShape& shape = scenario_.shape;
  RouteTable::Builder table;
  for (const FleetLoad& load : shape.loads) {
    table.Add(load.route);
  }
  table_ = *table.Build();
  std::vector<SearcherEntry> entries;
  for (size_t i = 0; i < shape.shards * shape.replicas; ++i) {
    const size_t shard = i / shape.replicas;
    const size_t data_centre =
        (shard + i % shape.replicas) % shape.data_centres;
    SearcherEntry entry;
    entry.id = "searcher-" + std::to_string(i);
    entry.service = "shard-" + std::to_string(shard);
    entry.data_centre = "dc-" + std::to_string(data_centre);
    entry.slots = shape.slots;
    entries.push_back(entry);
    searchers_.push_back(std::make_unique<Searcher>());
    searchers_.back()->entry = std::move(entry);
    SchedulePauses(i);
  }
  for (size_t i = 0; i < shape.instances; ++i) {
    instances_.push_back(std::make_unique<Instance>(
        "dc-" + std::to_string(i % shape.data_centres), shape, i));
    instances_.back()->context.searchers.Replace(events_.now(), entries);
    instances_.back()->context.random.seed(random_());
  }
}

void RoutedFleet::SchedulePauses(size_t searcher) {
  const FleetShape& shape = scenario_.shape;
  std::uniform_int_distribution<int64_t> phase(0, shape.pause_period.count());
  const TimePoint end = MeasurementStart() + scenario_.measured;
  for (TimePoint at = TimePoint() + Duration(phase(random_)); at < end;
       at += shape.pause_period) {
    events_.At(at, [this, searcher] {
      searchers_[searcher]->paused_until =
          events_.now() + scenario_.shape.pause;
    });
  }
}

FleetResult RoutedFleet::Run() {
  if (scenario_.prepare) {
    scenario_.prepare(*this);
  }
  Duration longest{};
  for (size_t i = 0; i < scenario_.shape.loads.size(); ++i) {
    ScheduleArrival(i);
    longest = std::max<Duration>(longest, scenario_.shape.loads[i].deadline);
  }
  events_.RunUntil(MeasurementStart() + scenario_.measured + longest);
  result_.max_allowance_use = MaxAllowanceUse();
  RecordLimitUse();
  return std::move(result_);
}

void RoutedFleet::ScheduleArrival(size_t load) {
  std::exponential_distribution<double> gap(
      scenario_.shape.loads[load].requests_per_second);
  const TimePoint at = events_.now() + FromSeconds(gap(random_));
  if (at >= MeasurementStart() + scenario_.measured) {
    return;
  }
  events_.At(at, [this, load] {
    OfferRequest(
        load, {events_.now(), events_.now() >= MeasurementStart(), false, 0});
    ScheduleArrival(load);
  });
}

void RoutedFleet::OfferRequest(size_t load, const Arrival& arrival) {
  const FleetLoad& kind = scenario_.shape.loads[load];
  const uint64_t number = next_request_++;
  auto request = std::make_unique<Request>();
  request->load = load;
  request->instance = random_() % instances_.size();
  request->sent = arrival.latency_start;
  request->measured = arrival.measured;
  request->was_rejected = arrival.was_rejected;
  request->retries = arrival.retries;
  const bool counts = arrival.measured && arrival.retries == 0;
  result_.loads[load].offered += counts ? 1 : 0;
  const auto next_attempt = [this] { return ++next_attempt_; };
  RequestPlanContext* const context = &instances_[request->instance]->context;
  const Route* const route = &table_->routes()[load];
  const TimePoint deadline = events_.now() + kind.deadline;
  request->driver =
      scenario_.naive ? MakeNaiveDriver(route, deadline, context, next_attempt)
                      : MakePlanDriver(events_.now(), table_, route, deadline,
                                       context, next_attempt);
  Request& placed = *(requests_[number] = std::move(request));
  ExecuteActions(number, placed.driver->Start(events_.now()));
}

void RoutedFleet::ExecuteActions(uint64_t number, RequestActions actions) {
  for (const AttemptToSend& send : actions.sends) {
    Send(number, send);
  }
  for (const uint64_t attempt : actions.cancels) {
    Cancel(attempt);
  }
  const auto found = requests_.find(number);
  if (found == requests_.end()) {
    return;
  }
  Request& request = *found->second;
  if (actions.result) {
    RecordResult(request, *actions.result);
    request.answered = true;
  }
  if (request.answered && request.driver->open_attempts() == 0) {
    requests_.erase(found);
    return;
  }
  ScheduleTimer(number);
}

void RoutedFleet::Send(uint64_t number, const AttemptToSend& send) {
  const Request& request = *requests_.at(number);
  const SearcherEntry& entry = send.searcher->entry();
  const auto found = std::find_if(
      searchers_.begin(), searchers_.end(),
      [&](const auto& searcher) { return searcher->entry.id == entry.id; });
  const auto index = static_cast<size_t>(found - searchers_.begin());
  attempts_[send.id] = {number, index};
  CountArrival(entry.service, send.reason != AttemptReason::kFirst);
  events_.After(OneWayLatency(*instances_[request.instance], **found),
                [this, id = send.id] { Arrive(id); });
}

Duration RoutedFleet::OneWayLatency(const Instance& instance,
                                    const Searcher& searcher) const {
  return instance.data_centre == searcher.entry.data_centre
             ? scenario_.shape.local_latency
             : scenario_.shape.remote_latency;
}

// The attempt ends immediately for the instance, and after the one-way latency
// for the searcher.
void RoutedFleet::Cancel(uint64_t id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  const size_t index = found->second.searcher;
  const Request& request = *requests_.at(found->second.request);
  events_.After(
      OneWayLatency(*instances_[request.instance], *searchers_[index]),
      [this, id, index] {
        Searcher& searcher = *searchers_[index];
        std::erase(searcher.waiting, id);
        std::erase(searcher.running, id);
        StartNext(searcher);
      });
  AttemptOutcome outcome;
  outcome.end = AttemptEnd::kAbandoned;
  Deliver(id, std::move(outcome));
}

void RoutedFleet::Arrive(uint64_t id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  Searcher& searcher = *searchers_[found->second.searcher];
  if (searcher.faults.unresponsive) {
    return;
  }
  if (searcher.faults.request_limit) {
    searcher.limit_use.OnRequest(events_.now(),
                                 requests_.at(found->second.request)->instance);
  }
  std::uniform_real_distribution<double> chance(0, 1);
  if (chance(random_) < searcher.faults.reject_share) {
    Reply(id, AttemptEnd::kRejected);
    return;
  }
  searcher.waiting.push_back(id);
  StartNext(searcher);
}

void RoutedFleet::StartNext(Searcher& searcher) {
  while (searcher.running.size() < scenario_.shape.slots &&
         !searcher.waiting.empty()) {
    const uint64_t id = searcher.waiting.front();
    searcher.waiting.pop_front();
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
      continue;
    }
    searcher.running.push_back(id);
    const TimePoint start = std::max(events_.now(), searcher.paused_until);
    events_.At(start + SampleServiceTime(found->second),
               [this, id] { Complete(id); });
  }
}

Duration RoutedFleet::SampleServiceTime(const Attempt& attempt) {
  const size_t load = requests_.at(attempt.request)->load;
  std::lognormal_distribution<double> service_ms(
      std::log(scenario_.shape.loads[load].service_median_ms),
      scenario_.shape.service_sigma);
  const double slowdown = searchers_[attempt.searcher]->faults.slowdown;
  return FromSeconds(service_ms(random_) * slowdown / 1000);
}

void RoutedFleet::Complete(uint64_t id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  Searcher& searcher = *searchers_[found->second.searcher];
  if (events_.now() < searcher.paused_until) {
    events_.At(searcher.paused_until, [this, id] { Complete(id); });
    return;
  }
  std::erase(searcher.running, id);
  Reply(id, AttemptEnd::kAnswered);
  StartNext(searcher);
}

void RoutedFleet::Reply(uint64_t id, AttemptEnd end) {
  const Attempt& attempt = attempts_.at(id);
  Searcher& searcher = *searchers_[attempt.searcher];
  const Request& request = *requests_.at(attempt.request);
  const Duration latency =
      OneWayLatency(*instances_[request.instance], searcher);
  AttemptOutcome outcome;
  outcome.request_limit = searcher.faults.request_limit;
  if (outcome.request_limit) {
    searcher.limit_use.OnNamed(events_.now(), *outcome.request_limit,
                               request.instance, events_.now() + latency);
  }
  outcome.end = end;
  outcome.answer.status = end == AttemptEnd::kAnswered ? 200 : 503;
  outcome.load = ReportedLoad{static_cast<uint32_t>(searcher.running.size()),
                              static_cast<uint32_t>(searcher.waiting.size()),
                              scenario_.shape.slots};
  events_.After(latency, [this, id, outcome = std::move(outcome)]() mutable {
    Deliver(id, std::move(outcome));
  });
}

void RoutedFleet::Deliver(uint64_t id, AttemptOutcome outcome) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  const uint64_t number = found->second.request;
  attempts_.erase(found);
  const auto request = requests_.find(number);
  if (request != requests_.end()) {
    ExecuteActions(number, request->second->driver->OnAttemptEnded(
                               events_.now(), id, std::move(outcome)));
  }
}

void RoutedFleet::ScheduleTimer(uint64_t number) {
  Request& request = *requests_.at(number);
  const std::optional<TimePoint> next = request.driver->next_timer();
  if (!next || (request.timer_at && *request.timer_at <= *next)) {
    return;
  }
  request.timer_at = next;
  events_.At(std::max(*next, events_.now()), [this, number] {
    const auto found = requests_.find(number);
    if (found != requests_.end()) {
      found->second->timer_at.reset();
      ExecuteActions(number, found->second->driver->OnTimer(events_.now()));
    }
  });
}

void RoutedFleet::RecordResult(const Request& request,
                               const RequestResult& result) {
  if (result.outcome != RequestOutcome::kMerged &&
      request.retries < kMaxCallerRetries) {
    ScheduleCallerRetry(request, result);
    return;
  }
  if (!request.measured) {
    return;
  }
  FleetLoadResult& load_result = result_.loads[request.load];
  const FleetLoad& load = scenario_.shape.loads[request.load];
  const Duration latency = events_.now() - request.sent;
  if (result.outcome != RequestOutcome::kMerged) {
    (result.outcome == RequestOutcome::kNotRun ? load_result.rejected
                                               : load_result.failed) += 1;
    load_result.unanswered_time += latency;
    return;
  }
  const auto parts = static_cast<double>(result.parts.size());
  const double coverage =
      parts / (parts + static_cast<double>(result.missing_parts));
  const bool in_time = latency <= load.route.target_latency;
  load_result.in_time += in_time ? 1 : 0;
  load_result.late += in_time ? 0 : 1;
  const double timely = request.was_rejected ? (1 + load.late_credit) / 2 : 1;
  load_result.credit +=
      coverage * coverage * (in_time ? timely : load.late_credit);
}

// After a prompt rejection, the latency of the retry starts at the retry. After
// a late rejection or a failure, it includes the time that the caller already
// waited.
void RoutedFleet::ScheduleCallerRetry(const Request& request,
                                      const RequestResult& result) {
  const Route& route = scenario_.shape.loads[request.load].route;
  const Duration latency = events_.now() - request.sent;
  const bool prompt = result.outcome == RequestOutcome::kNotRun &&
                      latency <= route.target_latency / kPromptRejectionDivisor;
  const Duration pause = result.retry_after + 2 * scenario_.shape.local_latency;
  const TimePoint latency_start = prompt ? events_.now() + pause : request.sent;
  events_.After(
      pause, [this, load = request.load, latency_start, prompt,
              measured = request.measured, retries = request.retries + 1] {
        OfferRequest(load, {latency_start, measured, prompt, retries});
      });
}

void RoutedFleet::CountArrival(const std::string& service, bool extra) {
  (extra ? result_.extra_arrivals : result_.first_arrivals) += 1;
  const auto second =
      static_cast<size_t>(std::chrono::duration_cast<std::chrono::seconds>(
                              events_.now().time_since_epoch())
                              .count());
  std::vector<ArrivalsInSecond>& seconds = arrivals_[service];
  seconds.resize(std::max(seconds.size(), second + 1));
  (extra ? seconds[second].extra : seconds[second].first) += 1;
}

void RoutedFleet::RecordLimitUse() {
  double requests = 0;
  double permitted = 0;
  for (const auto& searcher : searchers_) {
    const FleetLimitUse& use = searcher->limit_use;
    result_.max_limit_use = std::max(result_.max_limit_use, use.MaxWindowUse());
    requests += use.requests();
    permitted += use.PermittedRequests();
  }
  result_.mean_limit_use = permitted > 0 ? requests / permitted : 0;
}

double RoutedFleet::MaxAllowanceUse() const {
  const FleetShape& shape = scenario_.shape;
  const auto window =
      static_cast<size_t>(std::chrono::duration_cast<std::chrono::seconds>(
                              shape.extra_arrivals.window)
                              .count());
  double worst = 0;
  for (const auto& [service, seconds] : arrivals_) {
    for (size_t from = 0; from < seconds.size(); ++from) {
      double first = 0;
      double extra = 0;
      for (size_t i = from; i < std::min(from + window, seconds.size()); ++i) {
        first += static_cast<double>(seconds[i].first);
        extra += static_cast<double>(seconds[i].extra);
      }
      worst = std::max(worst, extra / (shape.extra_arrivals.ratio * first +
                                       shape.extra_arrivals.allowance));
    }
  }
  return worst;
}

}  // namespace greengage::bench
