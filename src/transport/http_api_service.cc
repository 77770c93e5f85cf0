#include "greengage/transport/http_api_service.h"

#include <utility>

#include "greengage/protocol/caller_codec.h"
#include "greengage/protocol/event_codec.h"
#include "transport/clock.h"
#include "transport/request_parameter.h"

namespace greengage {
namespace {

constexpr size_t kMaxEventsServed = 20000;

// Retry delay if the instance has no better estimate.
constexpr std::chrono::milliseconds kDefaultRetryDelay{1000};

unsigned StatusOf(const Answer& answer) {
  switch (answer.outcome) {
    case Outcome::kAnswered:
      return 200;
    case Outcome::kNotRun:
      return answer.refusal == Refusal::kOverloaded ||
                     answer.refusal == Refusal::kShed
                 ? 429
                 : 503;
    case Outcome::kUnknown:
      return 504;
  }
  return 500;
}

unsigned StatusOf(const Failure& failure) {
  switch (failure.kind) {
    case FailureKind::kTooLarge:
      return 413;
    case FailureKind::kNotFound:
      return 404;
    default:
      return 400;
  }
}

HttpResponse ToResponse(const Answer& answer,
                        const Configuration& configuration) {
  HttpResponse response;
  response.status = StatusOf(answer);
  response.body = SerializeAnswer(answer, configuration);
  if (answer.outcome != Outcome::kAnswered) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(answer.retry_after);
    response.headers.emplace_back("Retry-After",
                                  std::to_string(seconds.count()));
  }
  return response;
}

Answer UnfinishedAnswer(const Query& query) {
  Answer answer;
  answer.request_id = query.request_id;
  answer.service = query.service;
  answer.rank = query.rank;
  answer.outcome = Outcome::kUnknown;
  answer.refusal = Refusal::kDraining;
  answer.retry_after = kDefaultRetryDelay;
  return answer;
}

}  // namespace

HttpApiService::HttpApiService(std::string instance,
                               HttpApiHooks hooks,
                               HttpApiLimits limits,
                               EventLog* events,
                               Metrics* metrics,
                               std::vector<Gauge> gauges)
    : instance_(std::move(instance)),
      hooks_(std::move(hooks)),
      limits_(limits),
      events_(events),
      metrics_(metrics),
      gauges_(std::move(gauges)) {}

void HttpApiService::Handle(const HttpRequest& request,
                            const std::shared_ptr<HttpExchange>& exchange) {
  if (request.path == "/v1/query") {
    HandleQuery(request, exchange);
  } else if (request.path == "/livez") {
    exchange->Reply(HttpResponse{.body = "{\"live\": true}"});
  } else if (request.path == "/readyz") {
    exchange->Reply(HandleReadiness());
  } else if (request.path == "/metrics") {
    exchange->Reply(HttpResponse{.content_type = "text/plain; version=0.0.4",
                                 .body = SerializeMetrics(*metrics_, gauges_)});
  } else if (request.path == "/v1/status") {
    exchange->Reply(HttpResponse{.body = hooks_.status()});
  } else if (request.path == "/v1/events") {
    exchange->Reply(HandleEvents(request));
  } else {
    exchange->Reply(RejectInvalid(
        Failure{FailureKind::kNotFound, request.path, "no such resource"}));
  }
}

HttpResponse HttpApiService::HandleReadiness() const {
  const bool ready = hooks_.ready();
  return HttpResponse{
      .status = ready ? 200U : 503U,
      .body = ready ? "{\"ready\": true}"
                    : std::string("{\"ready\": false, \"reason\": \"") +
                          (hooks_.configuration() ? "stopping"
                                                  : "no_configuration") +
                          "\"}"};
}

HttpResponse HttpApiService::HandleEvents(const HttpRequest& request) const {
  std::optional<std::string> request_id;
  const auto found = request.parameters.find("request");
  if (found != request.parameters.end()) {
    request_id = found->second;
  }
  const HybridTime since{NumericParameter<int64_t>(request, "since_ms"), 0};
  return HttpResponse{.body = SerializeEvents(
                          events_->Read(since, request_id, kMaxEventsServed))};
}

HttpResponse HttpApiService::RejectInvalid(const Failure& failure) {
  metrics_->rejected_requests.Add();
  return HttpResponse{.status = StatusOf(failure),
                      .body = SerializeFailure(failure)};
}

// Rejects a request whose body has not been parsed, so that none of it has run.
HttpResponse HttpApiService::RejectUnread(Refusal refusal) const {
  Answer answer;
  answer.outcome = Outcome::kNotRun;
  answer.refusal = refusal;
  answer.retry_after = kDefaultRetryDelay;
  return ToResponse(answer, Configuration{});
}

std::string HttpApiService::MakeRequestId() {
  const auto now = SinceEpoch(std::chrono::system_clock::now());
  return std::to_string(now.count()) + "-" + instance_ + "-" +
         std::to_string(next_request_++);
}

void HttpApiService::HandleQuery(
    const HttpRequest& request,
    const std::shared_ptr<HttpExchange>& exchange) {
  if (request.method != "POST") {
    HttpResponse response = RejectInvalid(
        Failure{FailureKind::kInvalidArgument, request.method, "want POST"});
    response.status = 405;
    exchange->Reply(std::move(response));
    return;
  }
  const TimePoint received = Now();
  last_request_ = received;
  const ConfigurationPtr configuration = hooks_.configuration();
  if (!configuration || hooks_.rejecting()) {
    exchange->Reply(
        RejectUnread(configuration ? Refusal::kDraining : Refusal::kNotReady));
    return;
  }
  if (in_flight_ >= limits_.in_flight) {
    exchange->Reply(RejectUnread(Refusal::kOverloaded));
    return;
  }
  Result<Query> query = ParseQuery(request.body, *configuration, received,
                                   [this] { return MakeRequestId(); });
  if (!query) {
    exchange->Reply(RejectInvalid(query.last_reason()));
    return;
  }
  const uint64_t number = Add({.unfinished = UnfinishedAnswer(*query),
                               .configuration = configuration,
                               .received = received,
                               .exchange = exchange});
  const std::shared_ptr<RunningQuery> active_query =
      hooks_.run(std::move(*query), configuration,
                 [self = shared_from_this(), number](const Answer& answer) {
                   self->OnAnswer(number, answer);
                 });
  if (active_query) {
    exchange->OnClientDisconnected([active_query] { active_query->Abandon(); });
  }
}

uint64_t HttpApiService::Add(ActiveQuery active) {
  active.unfinished.configuration_version = active.configuration->version;
  const std::lock_guard lock(mutex_);
  ++in_flight_;
  active_queries_.emplace(++last_query_, std::move(active));
  return last_query_;
}

void HttpApiService::OnAnswer(uint64_t number, const Answer& answer) {
  std::map<uint64_t, ActiveQuery>::node_type node;
  {
    const std::lock_guard lock(mutex_);
    node = active_queries_.extract(number);
  }
  if (!node.empty()) {
    Reply(node.mapped(), answer);
  }
}

void HttpApiService::EndAll() {
  std::map<uint64_t, ActiveQuery> unfinished;
  {
    const std::lock_guard lock(mutex_);
    unfinished.swap(active_queries_);
  }
  for (const auto& [number, active] : unfinished) {
    Reply(active, active.unfinished);
  }
}

void HttpApiService::Reply(const ActiveQuery& active, const Answer& answer) {
  --in_flight_;
  const size_t rank = IndexOf(answer.rank);
  metrics_->queries[rank][static_cast<size_t>(answer.outcome)].Add();
  if (answer.outcome == Outcome::kAnswered) {
    metrics_->query_time[rank].Record(Now() - active.received);
  }
  if (answer.outcome == Outcome::kAnswered && !answer.missing.empty()) {
    metrics_->partial_answers.Add();
  }
  active.exchange->Reply(ToResponse(answer, *active.configuration));
}

}  // namespace greengage
