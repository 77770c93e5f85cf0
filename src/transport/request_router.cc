#include "greengage/transport/request_router.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "greengage/coordination/record_merger.h"
#include "greengage/protocol/caller_codec.h"
#include "greengage/transport/log.h"
#include "greengage/transport/log_line.h"
#include "transport/clock.h"
#include "transport/deadline_timer.h"

namespace greengage {
namespace {

enum HttpStatus : unsigned {
  kOk = 200,
  kBadRequest = 400,
  kNotFound = 404,
  kBadGateway = 502,
  kUnavailable = 503,
  kGatewayTimeout = 504,
};

// When to come back to an instance that has no configuration yet or is
// stopping: another one answers a new connection at once.
constexpr Duration kElsewhereRetryAfter = std::chrono::milliseconds(200);

// Of the requests that are answered whole and in time, one in so many is
// logged; all others are.
constexpr uint64_t kLoggedShare = 32;

// Attempts that took this share of the target latency are slow, for the log,
// and so many of them are logged for one request at most.
constexpr int kSlowSharePercent = 50;
constexpr size_t kMostAttemptLines = 12;

// The end of an attempt that is still under way when its request ends.
constexpr std::string_view kOpen = "open";

std::string FormatSeconds(Duration duration) {
  std::array<char, 32> text{};
  const auto end =
      std::to_chars(text.data(), text.data() + text.size(),
                    std::chrono::duration<double>(duration).count(),
                    std::chars_format::fixed, 2);
  return {text.data(), end.ptr};
}

HttpResponse ErrorResponse(unsigned status, const Failure& failure) {
  HttpResponse response;
  response.status = status;
  response.body = SerializeFailure(failure);
  return response;
}

HttpResponse RetryLater(const Failure& failure, Duration retry_after) {
  HttpResponse response = ErrorResponse(kUnavailable, failure);
  response.headers.emplace_back("Retry-After", FormatSeconds(retry_after));
  return response;
}

// What became of a call, as far as the plan can use it.
AttemptOutcome ReadOutcome(const CallDialect& dialect, HttpCallResult result) {
  if (result.response) {
    HttpResponse& response = *result.response;
    return ReadSearcherAnswer(dialect, response.status, response.headers,
                              std::move(response.body));
  }
  const Failure& reason = result.response.last_reason();
  AttemptOutcome outcome;
  if (reason.kind == FailureKind::kCancelled ||
      (reason.kind == FailureKind::kTimedOut && result.sent)) {
    outcome.end = AttemptEnd::kAbandoned;
  } else {
    outcome.end = result.sent ? AttemptEnd::kLost : AttemptEnd::kNotSent;
  }
  outcome.detail = Describe(reason);
  return outcome;
}

}  // namespace

// What the log may have to tell of one attempt. Times count from the arrival.
struct RequestRouter::AttemptNote {
  uint64_t attempt = 0;
  AttemptReason reason = AttemptReason::kFirst;
  std::string service;
  std::string searcher;
  Duration sent{};
  Duration expected{};
  std::optional<AttemptEnd> end;
  Duration ended{};
  std::string detail;
};

// One request from its arrival until all its attempts have ended.
struct RequestRouter::Running {
  uint64_t number = 0;
  CallerRequest caller;
  HttpRequest request;
  HeaderList headers;  // Those that are passed on.
  std::shared_ptr<HttpExchange> exchange;
  std::optional<RequestPlan> plan;
  TimePoint arrived;
  TimePoint deadline;
  Duration registry_age{};
  size_t attempts = 0;
  size_t extra_attempts = 0;
  std::vector<AttemptNote> notes;
  std::optional<TimePoint> armed;
};

// When to look at which request again, on one timer.
class RequestRouter::Timers {
 public:
  explicit Timers(boost::asio::io_context& context)
      : deadlines(boost::asio::make_strand(context)) {}

  DeadlineTimer deadlines;
};

RequestRouter::RequestRouter(boost::asio::io_context& context,
                             CallDialect dialect,
                             Limits limits,
                             RequestPlanContext* plans,
                             std::shared_ptr<SearcherClients> clients,
                             RoutedMetrics* metrics,
                             Hooks hooks)
    : dialect_(std::move(dialect)),
      limits_(limits),
      plans_(plans),
      clients_(std::move(clients)),
      metrics_(metrics),
      hooks_(std::move(hooks)),
      timers_(std::make_unique<Timers>(context)) {}

RequestRouter::~RequestRouter() = default;

void RequestRouter::Handle(HttpRequest request,
                           const std::shared_ptr<HttpExchange>& exchange) {
  last_request_ = Now();
  Result<CallerRequest> caller = ReadCallerRequest(dialect_, request.headers);
  if (!caller) {
    Refuse("", exchange, caller.last_reason());
    return;
  }
  const RouteTablePtr table = hooks_.active_routes();
  if (hooks_.rejecting() || !table) {
    Refuse(caller->id, exchange,
           Failure{
               table ? FailureKind::kShuttingDown : FailureKind::kUnavailable,
               "instance", table ? "it stops" : "it has no configuration yet"});
    return;
  }
  const Route* const route = table->Find(caller->host, request.path);
  if (route == nullptr) {
    Refuse(caller->id, exchange,
           Failure{FailureKind::kNotFound, caller->host + request.path,
                   "no route of configuration " +
                       std::to_string(table->version()) + " matches"});
    return;
  }
  if (in_flight_ >= limits_.in_flight) {
    Refuse(caller->id, exchange,
           Failure{FailureKind::kOverloaded, "instance",
                   "too many requests at once"});
    return;
  }
  Begin(std::move(request), *std::move(caller), exchange, table, route);
}

void RequestRouter::Refuse(const std::string& request_id,
                           const std::shared_ptr<HttpExchange>& exchange,
                           const Failure& failure) {
  LogLine(DecisionEvent::kRequestRefused)
      .Add("request_id", request_id)
      .Add("cause", FailureKindName(failure.kind))
      .Add("subject", failure.subject)
      .Add("detail", failure.detail)
      .Write();
  metrics_->requests[{"", std::string(FailureKindName(failure.kind))}].Add();
  switch (failure.kind) {
    case FailureKind::kNotFound:
      exchange->Reply(ErrorResponse(kNotFound, failure));
      return;
    case FailureKind::kMissingKey:
    case FailureKind::kInvalidSyntax:
      exchange->Reply(ErrorResponse(kBadRequest, failure));
      return;
    default:
      exchange->Reply(RetryLater(failure, kElsewhereRetryAfter));
      return;
  }
}

void RequestRouter::Begin(HttpRequest request,
                          CallerRequest caller,
                          const std::shared_ptr<HttpExchange>& exchange,
                          RouteTablePtr table,
                          const Route* route) {
  const TimePoint now = Now();
  auto running = std::make_shared<Running>();
  running->number = ++last_number_;
  running->arrived = now;
  running->deadline =
      now + (caller.time_left.count() > 0 ? caller.time_left : route->timeout);
  running->headers = PassedOnHeaders(dialect_, request.headers);
  running->caller = std::move(caller);
  running->request = std::move(request);
  running->exchange = exchange;
  running->registry_age = hooks_.registry_age();
  running->plan.emplace(now, std::move(table), route, running->deadline, plans_,
                        [this] { return ++last_attempt_; });
  exchange->OnAbandoned([weak = weak_from_this(), number = running->number] {
    if (const auto self = weak.lock()) {
      self->OnCallerLeft(number);
    }
  });
  running_[running->number] = running;
  ++in_flight_;
  Perform(running->number, running->plan->Start(now));
}

void RequestRouter::Perform(uint64_t number, RequestActions actions) {
  const auto found = running_.find(number);
  if (found == running_.end()) {
    return;
  }
  const std::shared_ptr<Running> running = found->second;
  for (const AttemptToSend& send : actions.sends) {
    SendAttempt(*running, send);
  }
  for (const uint64_t attempt : actions.cancels) {
    clients_->Cancel(attempt);
  }
  if (actions.result) {
    Answer(*running, *std::move(actions.result));
  }
  const std::optional<TimePoint> next = running->plan->next_timer();
  if (next && (!running->armed || *next < *running->armed)) {
    running->armed = next;
    timers_->deadlines.Add(*next, number);
    ArmTimer();
  }
  if (running->plan->has_result() && running->plan->open_attempts() == 0) {
    running_.erase(number);
  }
}

void RequestRouter::SendAttempt(Running& running, const AttemptToSend& send) {
  const TimePoint now = Now();
  ++running.attempts;
  const SearcherEntry& searcher = send.searcher->entry();
  running.extra_attempts += send.reason == AttemptReason::kFirst ? 0 : 1;
  running.notes.push_back({send.id, send.reason, searcher.service, searcher.id,
                           now - running.arrived, send.expected, std::nullopt,
                           Duration::zero(), ""});
  HttpCall call;
  call.method = running.request.method;
  call.target = running.request.target;
  call.body = running.request.body;
  call.deadline = send.deadline;
  call.headers = WithAttempt(dialect_, running.headers,
                             ToMilliseconds(send.deadline - now), searcher.id);
  call.check = [this, id = running.caller.id](const HttpResponse& response) {
    return IsForeignAnswer(dialect_, response.headers, id)
               ? HttpAnswerCheck::kForeign
               : HttpAnswerCheck::kOwn;
  };
  clients_->Start(
      *send.searcher, send.id, std::move(call),
      [weak = weak_from_this(), number = running.number, attempt = send.id,
       reason = send.reason](const HttpCallResult& result) {
        if (const auto self = weak.lock()) {
          self->OnAttemptEnded(number, attempt, reason, result);
        }
      });
}

void RequestRouter::OnAttemptEnded(uint64_t number,
                                   uint64_t attempt,
                                   AttemptReason reason,
                                   const HttpCallResult& result) {
  const auto found = running_.find(number);
  if (found == running_.end()) {
    return;
  }
  AttemptOutcome outcome = ReadOutcome(dialect_, result);
  metrics_
      ->attempts[{std::string(AttemptReasonName(reason)),
                  std::string(AttemptEndName(outcome.end))}]
      .Add();
  for (AttemptNote& note : found->second->notes) {
    if (note.attempt == attempt) {
      note.end = outcome.end;
      note.ended = Now() - found->second->arrived;
      note.detail = outcome.detail;
    }
  }
  Perform(number, found->second->plan->OnAttemptEnded(Now(), attempt,
                                                      std::move(outcome)));
}

void RequestRouter::OnCallerLeft(uint64_t number) {
  const auto found = running_.find(number);
  if (found == running_.end() || found->second->plan->has_result()) {
    return;
  }
  metrics_->callers_left.Add();
  --in_flight_;
  RequestActions actions = found->second->plan->OnCallerLeft(Now());
  LogEnd(*found->second, *actions.result, 0, Now());
  actions.result.reset();  // There is nobody to answer.
  Perform(number, std::move(actions));
}

void RequestRouter::Answer(Running& running, RequestResult result) {
  --in_flight_;
  const TimePoint now = Now();
  const Route& route = running.plan->route();
  metrics_->requests[{route.name, std::string(RequestEndName(result.end))}]
      .Add();
  metrics_->request_time[route.name].Record(now - running.arrived);
  HttpResponse response = ToResponse(route, result);
  LogEnd(running, result, response.status, now);
  running.exchange->Reply(std::move(response));
}

void RequestRouter::LogEnd(const Running& running,
                           const RequestResult& result,
                           unsigned status,
                           TimePoint now) {
  const Route& route = running.plan->route();
  const Duration took = now - running.arrived;
  const bool whole_and_timely =
      result.cause.empty() && took <= route.target_latency;
  if (whole_and_timely && ++whole_answers_ % kLoggedShare != 0) {
    return;
  }
  LogLine(DecisionEvent::kRequestEnded)
      .Add("request_id", running.caller.id)
      .Add("route", route.name)
      .Add("configuration", running.plan->table().version())
      .Add("registry_age_ms", running.registry_age)
      .Add("time_left_ms", running.deadline - running.arrived)
      .Add("target_ms", Duration(route.target_latency))
      .Add("took_ms", took)
      .Add("end", RequestEndName(result.end))
      .Add("status", status)
      .Add("cause", result.cause)
      .Add("parts", result.parts.size())
      .Add("missing_parts", result.missing_parts)
      .Add("unlikely_parts", result.unlikely_parts)
      .Add("attempts", running.attempts)
      .Add("extra_attempts", running.extra_attempts)
      .Add("trouble", TroubleOf(running, result))
      .Write();
  if (HasLogRoom()) {
    LogAttempts(running);
  }
}

// How most attempts without an answer ended. A part that nobody was asked for
// had no searcher.
std::string_view RequestRouter::TroubleOf(const Running& running,
                                          const RequestResult& result) {
  std::map<std::string_view, size_t> counts;
  for (const AttemptNote& note : running.notes) {
    if (note.end != AttemptEnd::kAnswered) {
      ++counts[note.end ? AttemptEndName(*note.end) : kOpen];
    }
  }
  const auto most = std::max_element(
      counts.begin(), counts.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  if (most != counts.end()) {
    return most->first;
  }
  if (result.unlikely_parts > 0) {
    return kShardsNotAnsweringTrouble;
  }
  const bool whole = (result.end == RequestEnd::kMerged ||
                      result.end == RequestEnd::kPassedOn) &&
                     result.missing_parts == 0;
  return whole ? kNoTrouble : kNoSearcherTrouble;
}

void RequestRouter::LogAttempts(const Running& running) {
  const Duration slow =
      running.plan->route().target_latency * kSlowSharePercent / 100;
  size_t logged = 0;
  for (const AttemptNote& note : running.notes) {
    const bool ordinary = note.reason == AttemptReason::kFirst &&
                          note.end == AttemptEnd::kAnswered &&
                          note.ended - note.sent < slow;
    if (ordinary || ++logged > kMostAttemptLines) {
      continue;
    }
    LogLine(DecisionEvent::kAttempt)
        .Add("request_id", running.caller.id)
        .Add("attempt", note.attempt)
        .Add("reason", AttemptReasonName(note.reason))
        .Add("service", note.service)
        .Add("searcher", note.searcher)
        .Add("sent_ms", note.sent)
        .Add("expected_ms", note.expected)
        .Add("end", note.end ? AttemptEndName(*note.end) : kOpen)
        .Add("ended_ms", note.ended)
        .Add("detail", note.detail)
        .Write();
  }
}

HttpResponse RequestRouter::ToResponse(const Route& route,
                                       RequestResult& result) const {
  HttpResponse response;
  const std::string cause(result.cause);
  switch (result.end) {
    case RequestEnd::kPassedOn:
      response.status = result.answer.status;
      response.content_type.clear();
      response.headers = std::move(result.answer.headers);
      response.body = std::move(result.answer.body);
      return response;
    case RequestEnd::kMerged: {
      RecordMerger merger(route.gather->top_records);
      for (const SearcherAnswer& part : result.parts) {
        merger.Add(part.body);
      }
      response.status = kOk;
      response.content_type = "application/octet-stream";
      response.headers =
          PartHeaders(dialect_, result.parts, result.missing_parts);
      response.body = merger.Take();
      return response;
    }
    case RequestEnd::kNotRun:
      return RetryLater(
          Failure{FailureKind::kOverloaded, "route " + route.name, cause},
          result.retry_after);
    case RequestEnd::kTimedOut:
      return ErrorResponse(
          kGatewayTimeout,
          Failure{FailureKind::kTimedOut, "route " + route.name, cause});
    case RequestEnd::kUnknown:
    case RequestEnd::kLeft:
      break;
  }
  return ErrorResponse(kBadGateway, Failure{FailureKind::kUnavailable,
                                            "route " + route.name, cause});
}

void RequestRouter::ArmTimer() {
  timers_->deadlines.Arm([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnTimer();
    }
  });
}

void RequestRouter::OnTimer() {
  const TimePoint now = Now();
  for (const uint64_t number : timers_->deadlines.TakeExpired(now)) {
    const auto found = running_.find(number);
    if (found == running_.end()) {
      continue;
    }
    found->second->armed.reset();
    const std::optional<TimePoint> next = found->second->plan->next_timer();
    if (next && *next <= now) {
      Perform(number, found->second->plan->OnTimer(now));
    } else {
      Perform(number, {});
    }
  }
  ArmTimer();
}

}  // namespace greengage
