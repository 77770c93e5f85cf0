#include "standins/searcher/searcher.h"

#include <algorithm>
#include <utility>

#include "standins/common/json.h"
#include "standins/searcher/records.h"

namespace greengage::standins {

namespace {

// Limit of the idempotent requests in `executions_`, of which the oldest are
// evicted. Non-idempotent requests are never evicted.
constexpr size_t kMaxIdempotentIds = 100000;

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

// Decrements `count`; returns false if it was 0.
bool ConsumeOne(uint32_t& count) {
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
      random_generator_(options_.seed) {}

void Searcher::Handle(const HttpRequest& request,
                      const std::shared_ptr<HttpExchange>& exchange) {
  latest_connection_ = std::max(latest_connection_, exchange->connection());
  if (request.path == "/faults") {
    HandleFaults(request, exchange);
  } else if (exchange->connection() <= faults_.stalled_connections) {
    stalled_exchanges_.push_back(exchange);
  } else if (request.path == "/search") {
    HandleSearch(request, exchange);
  } else if (request.path == "/cancel") {
    HandleCancel(request, exchange);
  } else if (request.path == "/executions") {
    exchange->Reply(ExecutionsResponse(request));
  } else if (request.path == "/counters") {
    exchange->Reply(CountersResponse());
  } else if (request.path == "/health") {
    const bool ok = faults_.health_override.value_or(!faults_.drain);
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
  const auto task = std::make_shared<SearchTask>(context_);
  task->request = *parsed;
  task->exchange = exchange;
  const std::optional<std::string> reason = RejectionReason(task->request);
  if (reason) {
    Reject(task, *reason);
    return;
  }
  exchange->OnClientDisconnected([this, task] { Cancel(task); });
  Enqueue(task);
}

std::optional<std::string> Searcher::RejectionReason(
    const SearchRequest& request) const {
  if (faults_.drain && faults_.drain_refuses) {
    return "draining";
  }
  if (!faults_.hosted_index.HasRange(request.service, request.range)) {
    return "range_not_held";
  }
  if (request.index_version != 0 &&
      !faults_.hosted_index.HasVersion(request.index_version)) {
    return "version_not_held";
  }
  const bool full = running_.size() >= options_.slots &&
                    queue_.size() >= options_.queue_limit;
  if (faults_.shed || full) {
    return "shed";
  }
  return std::nullopt;
}

void Searcher::Reject(const SearchTaskPtr& task, std::string_view reason) {
  ++rejected_;
  task->exchange->Reply(NotRunResponse(task->request, reason, Load()));
}

void Searcher::Enqueue(const SearchTaskPtr& task) {
  queue_.push_back(task);
  StartNext();
}

void Searcher::StartNext() {
  while (!queue_.empty() && running_.size() < options_.slots) {
    const SearchTaskPtr task = queue_.front();
    queue_.pop_front();
    if (task->request.deadline <= Now()) {
      Reject(task, "deadline");
      continue;
    }
    Run(task);
  }
}

void Searcher::Run(const SearchTaskPtr& task) {
  task->running = true;
  running_.push_back(task);
  RecordExecution(task->request);
  if (task->request.index_version == 0) {
    task->request.index_version = faults_.hosted_index.versions.back();
  }
  task->timer.expires_after(DrawServiceTime(Now()));
  task->timer.async_wait([this, task](const boost::system::error_code& error) {
    if (!error && task->running) {
      Finish(task);
    }
  });
}

void Searcher::Finish(const SearchTaskPtr& task) {
  task->running = false;
  running_.remove(task);
  Answer(task);
  StartNext();
}

void Searcher::Answer(const SearchTaskPtr& task) {
  const SearchRequest& request = task->request;
  KeyRange range = request.range;
  if (ConsumeOne(faults_.short_answers)) {
    range.end -= (range.end - range.begin) / 2;
  }
  HttpResponse response = FoundResponse(
      request, range, request.index_version,
      TopHits(MatchingRecords(request.service, request.index_version, range,
                              request.text),
              request.limit),
      Load());
  const std::string previous = std::exchange(last_answer_, response.body);
  if (!previous.empty() && ConsumeOne(faults_.crossed_answers)) {
    response.body = previous;
  }
  if (ConsumeOne(faults_.truncated_answers)) {
    response.body.resize(response.body.size() / 2);
  }
  if (ConsumeOne(faults_.lost_answers)) {
    task->exchange->Abort();
    return;
  }
  task->exchange->Reply(std::move(response));
}

// Frees the slot or the queue entry of a request. A running request may have
// taken effect already, so it gets status 500 and not the proof that it did not
// run.
void Searcher::Cancel(const SearchTaskPtr& task) {
  ++cancelled_;
  if (task->running) {
    task->running = false;
    task->timer.cancel();
    running_.remove(task);
    task->exchange->Reply(EmptyResponse(500));
    StartNext();
    return;
  }
  if (std::erase(queue_, task) > 0) {
    Reject(task, "deadline");
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
  const auto matches = [&](const SearchTaskPtr& task) {
    return task->request.request_id == id &&
           task->request.sub_request_id == sub_id;
  };
  std::vector<SearchTaskPtr> found;
  std::copy_if(running_.begin(), running_.end(), std::back_inserter(found),
               matches);
  std::copy_if(queue_.begin(), queue_.end(), std::back_inserter(found),
               matches);
  for (const SearchTaskPtr& task : found) {
    Cancel(task);
  }
}

void Searcher::RecordExecution(const SearchRequest& request) {
  ++executed_;
  const uint32_t count = ++executions_[request.request_id];
  if (!request.idempotent || count > 1) {
    return;
  }
  idempotent_ids_.push_back(request.request_id);
  if (idempotent_ids_.size() > kMaxIdempotentIds) {
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
            {"refused", rejected_},
            {"cancelled", cancelled_},
            {"since_last_received_ms", ToMilliseconds(since).count()}});
}

Duration Searcher::DrawServiceTime(TimePoint now) {
  const ServiceTime& time = faults_.service_time;
  std::exponential_distribution<double> exponential(1.0);
  // Half of the base time is constant, the other half is the mean of an
  // exponential distribution.
  const double base = static_cast<double>(time.base.count());
  Duration drawn = std::chrono::microseconds(static_cast<int64_t>(
      base / 2 + base / 2 * exponential(random_generator_)));
  if (random_generator_() % 100 < time.straggler_percent) {
    drawn += time.straggler_delay;
  }
  if (now < faults_.cold_until) {
    drawn *= kColdSlowdownFactor;
  }
  return drawn + faults_.slow;
}

boost::json::object Searcher::Load() const {
  if (faults_.load_override) {
    return *faults_.load_override;
  }
  return {{"running", running_.size()},
          {"queued", queue_.size()},
          {"oldest_version", faults_.hosted_index.versions.front()},
          {"newest_version", faults_.hosted_index.versions.back()},
          {"draining", faults_.drain}};
}

}  // namespace greengage::standins
