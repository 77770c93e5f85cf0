#include "standins/searcher/searcher.h"

#include <algorithm>
#include <utility>

#include "standins/common/json.h"
#include "standins/searcher/records.h"

namespace greengage::standins {

namespace {

// Executions of idempotent requests are remembered for the newest only.
constexpr size_t kIdempotentIdsKept = 100000;

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

HttpResponse EmptyResponse(unsigned status) {
  HttpResponse response;
  response.status = status;
  return response;
}

HttpResponse FailureResponse(const Failure& failure) {
  return JsonResponse(
      400, {{"error",
             {{"kind", boost::json::string(FailureKindName(failure.kind))},
              {"subject", failure.subject},
              {"detail", failure.detail}}}});
}

// Takes one off `count`; false if it was 0.
bool TakeOne(uint32_t& count) {
  if (count == 0) {
    return false;
  }
  --count;
  return true;
}

}  // namespace

Searcher::Searcher(boost::asio::io_context& context, SearcherOptions options)
    : context_(context),
      options_(std::move(options)),
      faults_(options_.faults),
      random_(options_.seed) {}

void Searcher::Handle(const HttpRequest& request,
                      const std::shared_ptr<HttpExchange>& exchange) {
  latest_connection_ = std::max(latest_connection_, exchange->connection());
  if (request.path == "/faults") {
    HandleFaults(request, exchange);
  } else if (exchange->connection() <= faults_.stalled_connections) {
    silent_.push_back(exchange);
  } else if (request.path == "/search") {
    HandleSearch(request, exchange);
  } else if (request.path == "/cancel") {
    HandleCancel(request, exchange);
  } else if (request.path == "/executions") {
    exchange->Reply(ExecutionsResponse(request));
  } else if (request.path == "/counters") {
    exchange->Reply(CountersResponse());
  } else if (request.path == "/health") {
    const bool ok = faults_.health_ok.value_or(!faults_.drain);
    exchange->Reply(JsonResponse(200, {{"status", ok ? "ok" : "draining"}}));
  } else if (request.path == "/load") {
    exchange->Reply(JsonResponse(200, Load()));
  } else {
    exchange->Reply(EmptyResponse(404));
  }
}

void Searcher::Drain() {
  faults_.drain = true;
  faults_.drain_refuses = true;
}

void Searcher::HandleFaults(const HttpRequest& request,
                            const std::shared_ptr<HttpExchange>& exchange) {
  const Result<boost::json::object> switches = ParseObject(request.body);
  if (!switches) {
    exchange->Reply(FailureResponse(switches.last_reason()));
    return;
  }
  const Result<Done> applied =
      ApplyFaults(*switches, Now(), latest_connection_, faults_);
  exchange->Reply(applied ? EmptyResponse(204)
                          : FailureResponse(applied.last_reason()));
}

void Searcher::HandleSearch(const HttpRequest& request,
                            const std::shared_ptr<HttpExchange>& exchange) {
  const Result<SearchRequest> parsed = ParseSearchRequest(request.body, Now());
  if (!parsed) {
    exchange->Reply(FailureResponse(parsed.last_reason()));
    return;
  }
  ++received_;
  last_received_ = Now();
  const auto work = std::make_shared<Work>(context_);
  work->request = *parsed;
  work->exchange = exchange;
  const std::optional<std::string> reason = ReasonToRefuse(work->request);
  if (reason) {
    Refuse(work, *reason);
    return;
  }
  exchange->OnClientDisconnected([this, work] { GiveUp(work); });
  Enqueue(work);
}

std::optional<std::string> Searcher::ReasonToRefuse(
    const SearchRequest& request) const {
  if (faults_.drain && faults_.drain_refuses) {
    return "draining";
  }
  if (!faults_.holdings.HasRange(request.service, request.range)) {
    return "range_not_held";
  }
  if (request.index_version != 0 &&
      !faults_.holdings.HasVersion(request.index_version)) {
    return "version_not_held";
  }
  const bool full =
      running_.size() >= options_.slots && queue_.size() >= options_.queue;
  if (faults_.shed || full) {
    return "shed";
  }
  return std::nullopt;
}

void Searcher::Refuse(const WorkPtr& work, std::string_view reason) {
  ++refused_;
  work->exchange->Reply(NotRunResponse(work->request, reason, Load()));
}

void Searcher::Enqueue(const WorkPtr& work) {
  queue_.push_back(work);
  StartNext();
}

void Searcher::StartNext() {
  while (!queue_.empty() && running_.size() < options_.slots) {
    const WorkPtr work = queue_.front();
    queue_.pop_front();
    if (work->request.deadline <= Now()) {
      Refuse(work, "deadline");
      continue;
    }
    Run(work);
  }
}

void Searcher::Run(const WorkPtr& work) {
  work->running = true;
  running_.push_back(work);
  CountExecution(work->request);
  if (work->request.index_version == 0) {
    work->request.index_version = faults_.holdings.versions.back();
  }
  work->timer.expires_after(DrawServiceTime(Now()));
  work->timer.async_wait([this, work](const boost::system::error_code& error) {
    if (!error && work->running) {
      Finish(work);
    }
  });
}

void Searcher::Finish(const WorkPtr& work) {
  work->running = false;
  running_.remove(work);
  Answer(work);
  StartNext();
}

void Searcher::Answer(const WorkPtr& work) {
  const SearchRequest& request = work->request;
  KeyRange range = request.range;
  if (TakeOne(faults_.short_answers)) {
    range.end -= (range.end - range.begin) / 2;
  }
  HttpResponse response =
      FoundResponse(request, range, request.index_version,
                    TopHits(MatchingRecords(request.service, request.index_version,
                                     range, request.text),
                           request.limit),
                    Load());
  const std::string previous = std::exchange(last_answer_, response.body);
  if (!previous.empty() && TakeOne(faults_.crossed_answers)) {
    response.body = previous;
  }
  if (TakeOne(faults_.truncated_answers)) {
    response.body.resize(response.body.size() / 2);
  }
  if (TakeOne(faults_.lost_answers)) {
    work->exchange->Abort();
    return;
  }
  work->exchange->Reply(std::move(response));
}

// Frees the slot or the place in the queue. A request under way may have taken
// effect, so that its answer proves nothing.
void Searcher::GiveUp(const WorkPtr& work) {
  ++cancelled_;
  if (work->running) {
    work->running = false;
    work->timer.cancel();
    running_.remove(work);
    work->exchange->Reply(EmptyResponse(500));
    StartNext();
    return;
  }
  if (std::erase(queue_, work) > 0) {
    Refuse(work, "deadline");
  }
}

void Searcher::HandleCancel(const HttpRequest& request,
                            const std::shared_ptr<HttpExchange>& exchange) {
  exchange->Reply(EmptyResponse(204));
  const Result<boost::json::object> body = ParseObject(request.body);
  if (!body) {
    return;
  }
  const std::string id = TextOr(*body, "request_id", "");
  const uint64_t sub_id = NumberOr(*body, "sub_request_id", 0);
  const auto matches = [&](const WorkPtr& work) {
    return work->request.request_id == id &&
           work->request.sub_request_id == sub_id;
  };
  std::vector<WorkPtr> found;
  std::copy_if(running_.begin(), running_.end(), std::back_inserter(found),
               matches);
  std::copy_if(queue_.begin(), queue_.end(), std::back_inserter(found),
               matches);
  for (const WorkPtr& work : found) {
    GiveUp(work);
  }
}

void Searcher::CountExecution(const SearchRequest& request) {
  ++executed_;
  const uint32_t count = ++executions_[request.request_id];
  if (!request.idempotent || count > 1) {
    return;
  }
  idempotent_ids_.push_back(request.request_id);
  if (idempotent_ids_.size() > kIdempotentIdsKept) {
    executions_.erase(idempotent_ids_.front());
    idempotent_ids_.pop_front();
  }
}

HttpResponse Searcher::ExecutionsResponse(const HttpRequest& request) const {
  const auto id = request.parameters.find("request_id");
  if (id == request.parameters.end()) {
    return EmptyResponse(400);
  }
  const auto found = executions_.find(id->second);
  return JsonResponse(
      200, {{"request_id", id->second},
            {"executions", found == executions_.end() ? 0 : found->second}});
}

HttpResponse Searcher::CountersResponse() const {
  const Duration since = received_ == 0 ? Duration{} : Now() - last_received_;
  return JsonResponse(
      200, {{"received", received_},
            {"executed", executed_},
            {"refused", refused_},
            {"cancelled", cancelled_},
            {"since_last_received_ms", ToMilliseconds(since).count()}});
}

Duration Searcher::DrawServiceTime(TimePoint now) {
  const ServiceTime& time = faults_.service_time;
  std::exponential_distribution<double> spread(1.0);
  // Half of the time is fixed, the other half spreads exponentially.
  const double base = static_cast<double>(time.base.count());
  Duration drawn = std::chrono::microseconds(
      static_cast<int64_t>(base / 2 + base / 2 * spread(random_)));
  if (random_() % 100 < time.straggler_percent) {
    drawn += time.straggler;
  }
  if (now < faults_.cold_until) {
    drawn *= kColdFactor;
  }
  return drawn + faults_.slow;
}

boost::json::object Searcher::Load() const {
  if (faults_.load) {
    return *faults_.load;
  }
  return {{"running", running_.size()},
          {"queued", queue_.size()},
          {"oldest_version", faults_.holdings.versions.front()},
          {"newest_version", faults_.holdings.versions.back()},
          {"draining", faults_.drain}};
}

}  // namespace greengage::standins
