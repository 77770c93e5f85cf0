#include "greengage/transport/request_router.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>
#include <vector>

#include "greengage/coordination/record_merger.h"
#include "greengage/protocol/caller_codec.h"
#include "greengage/protocol/leaving_codec.h"
#include "greengage/transport/log_line.h"
#include "transport/clock.h"
#include "transport/deadline_timer.h"
#include "transport/forwarding_exchange.h"
#include "transport/request_router_state.h"

namespace greengage {
namespace {

enum HttpStatus : unsigned {
  kOk = 200,
  kBadRequest = 400,
  kUnauthorized = 401,
  kNotFound = 404,
  kTooManyRequests = 429,
  kInternalError = 500,
  kBadGateway = 502,
  kUnavailable = 503,
  kGatewayTimeout = 504,
};

// An attempt that ends after its searcher has answered nothing for this long
// speaks against the way to the searcher.
constexpr Duration kSilenceTime = std::chrono::milliseconds(500);

std::string FormatSeconds(Duration duration) {
  std::array<char, 32> text{};
  const auto end =
      std::to_chars(text.data(), text.data() + text.size(),
                    std::chrono::duration<double>(duration).count(),
                    std::chars_format::fixed, 2);
  return {text.data(), end.ptr};
}

std::chrono::milliseconds TimeLeft(const CallerRequest& caller,
                                   const Route& route) {
  return caller.time_left.count() > 0 ? caller.time_left : route.timeout;
}

HttpResponse ErrorResponse(unsigned status, const Failure& failure) {
  HttpResponse response;
  response.status = status;
  response.body = SerializeFailure(failure);
  return response;
}

HttpResponse Rejection(unsigned status, const Failure& failure) {
  HttpResponse response = ErrorResponse(status, failure);
  response.not_run = true;
  return response;
}

HttpResponse ServiceUnavailable(const Failure& failure, Duration retry_delay) {
  HttpResponse response = Rejection(kUnavailable, failure);
  response.headers.emplace_back("Retry-After", FormatSeconds(retry_delay));
  return response;
}

// Converts the result of a call to an attempt outcome for RequestPlan.
AttemptOutcome ToAttemptOutcome(const CallDialect& dialect,
                                HttpCallResult result) {
  if (result.response) {
    HttpResponse& response = *result.response;
    return ParseSearcherAnswer(dialect, response.status, response.headers,
                               std::move(response.body));
  }
  const Failure& reason = result.response.last_reason();
  AttemptOutcome outcome;
  if (reason.kind == FailureKind::kCancelled ||
      (reason.kind == FailureKind::kTimedOut && result.sent)) {
    outcome.end = AttemptEnd::kAbandoned;
  } else if (result.sent) {
    outcome.end = AttemptEnd::kLost;
  } else {
    // The client was closed, or CheckBeforeSend() withheld the request.
    const bool withheld = reason.kind == FailureKind::kUnavailable ||
                          reason.kind == FailureKind::kOverloaded;
    outcome.end = withheld ? AttemptEnd::kWithheld : AttemptEnd::kNotSent;
  }
  outcome.detail = Describe(reason);
  return outcome;
}

// Tells the peer that passed a request on which request is answered, and
// whether it has run. A searcher may have sent headers of the same names.
class PeerExchange : public ForwardingExchange {
 public:
  PeerExchange(std::shared_ptr<HttpExchange> peer, std::string request_id)
      : ForwardingExchange(std::move(peer)),
        request_id_(std::move(request_id)) {}

  void Reply(HttpResponse response) override {
    std::erase_if(response.headers, [](const auto& header) {
      return IsSameHeader(header.first, kAnsweredRequestHeader) ||
             IsSameHeader(header.first, kNotRunHeader);
    });
    response.headers.emplace_back(kAnsweredRequestHeader, request_id_);
    if (response.not_run) {
      response.headers.emplace_back(kNotRunHeader, "1");
    }
    ForwardingExchange::Reply(std::move(response));
  }

 private:
  const std::string request_id_;
};

}  // namespace

// Timers of all requests, multiplexed onto one timer.
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
                             CrashSuspects* suspects,
                             SearcherReach* reach,
                             std::shared_ptr<SearcherClients> clients,
                             RoutedMetrics* metrics,
                             Hooks hooks)
    : context_(context),
      dialect_(std::move(dialect)),
      limits_(limits),
      plans_(plans),
      suspects_(suspects),
      reach_(reach),
      clients_(std::move(clients)),
      metrics_(metrics),
      hooks_(std::move(hooks)),
      timers_(std::make_unique<Timers>(context)) {}

RequestRouter::~RequestRouter() = default;

void RequestRouter::Handle(HttpRequest request,
                           const std::shared_ptr<HttpExchange>& exchange) {
  last_request_ = Now();
  Result<CallerRequest> caller = ParseCallerRequest(dialect_, request.headers);
  if (!caller) {
    Reject("", exchange, caller.last_reason());
    return;
  }
  const RouteTablePtr table = hooks_.active_routes();
  if (!table) {
    Reject(caller->id, exchange,
           Failure{FailureKind::kUnavailable, "instance",
                   "it has no configuration yet"});
    return;
  }
  const Route* const route = FindRoute(*table, *caller, request.path, exchange);
  caller->key = KeyOf(*caller);
  if (route == nullptr || !CheckAccess(*table, *route, *caller, exchange)) {
    return;
  }
  if (!Takes(last_request_, *caller, *route)) {
    Reject(caller->id, exchange,
           Failure{FailureKind::kShuttingDown, "instance",
                   "it ends before the request may have"});
    return;
  }
  if (in_flight_ >= limits_.in_flight) {
    Reject(caller->id, exchange,
           Failure{FailureKind::kOverloaded, "instance",
                   "too many requests at once"});
    return;
  }
  const std::shared_ptr<HttpExchange> counted =
      CheckQuota(*table, *caller, exchange);
  if (!counted) {
    return;
  }
  if (route->gather && hooks_.forwards_gathers()) {
    Forward(std::move(request), *std::move(caller), counted, table, route,
            Hop{hooks_.forward_to_gatherer, &PlacementRules::AllowsGatherer,
                &RequestRouter::Serve});
    return;
  }
  Serve(std::move(request), *std::move(caller), counted, table, route);
}

const Route* RequestRouter::FindRoute(
    const RouteTable& table,
    const CallerRequest& caller,
    const std::string& path,
    const std::shared_ptr<HttpExchange>& exchange) {
  const Route* const route = table.Find(caller.host, path);
  if (route == nullptr) {
    Reject(caller.id, exchange,
           Failure{FailureKind::kNotFound, caller.host + path,
                   "no route of configuration " +
                       std::to_string(table.version()) + " matches"});
  }
  return route;
}

void RequestRouter::Serve(HttpRequest request,
                          CallerRequest caller,
                          const std::shared_ptr<HttpExchange>& exchange,
                          const RouteTablePtr& table,
                          const Route* route) {
  if (reach_->is_cut_off()) {
    Forward(std::move(request), std::move(caller), exchange, table, route,
            Hop{hooks_.forward_to_peer, &PlacementRules::AllowsPeer,
                &RequestRouter::ServeIfReachable});
    return;
  }
  ServeHere(std::move(request), std::move(caller), exchange, table, route);
}

void RequestRouter::ServeIfReachable(
    HttpRequest request,
    CallerRequest caller,
    const std::shared_ptr<HttpExchange>& exchange,
    const RouteTablePtr& table,
    const Route* route) {
  const RequestTerms terms =
      TermsOf(*route, table->FindOrganisation(caller.organisation));
  const auto is_allowed = [this, &terms](const std::string& data_centre) {
    return plans_->placement.AllowsSearcher(terms, data_centre);
  };
  if (terms.is_restricted && !reach_->HasReached(Now(), is_allowed)) {
    Reject(caller.id, exchange,
           Failure{FailureKind::kUnavailable, "route " + route->name,
                   "no searcher in its regions is reached from here, and no "
                   "instance there took the request"});
    return;
  }
  ServeHere(std::move(request), std::move(caller), exchange, table, route);
}

void RequestRouter::ServeHere(HttpRequest request,
                              CallerRequest caller,
                              const std::shared_ptr<HttpExchange>& exchange,
                              const RouteTablePtr& table,
                              const Route* route) {
  StartRequest(std::move(request), std::move(caller), exchange, table, route);
}

bool RequestRouter::Takes(TimePoint now,
                          const CallerRequest& caller,
                          const Route& route) const {
  return hooks_.takes(
      now, std::min<Duration>(TimeLeft(caller, route), route.timeout));
}

void RequestRouter::EndAll() {
  std::vector<uint64_t> waiting;
  for (const auto& [number, request] : waiting_) {
    waiting.push_back(number);
  }
  for (const uint64_t number : waiting) {
    RejectWaiting(number, "the instance ends", kOtherInstanceRetryDelay);
  }
  std::vector<uint64_t> numbers;
  numbers.reserve(active_requests_.size());
  for (const auto& [number, active] : active_requests_) {
    numbers.push_back(number);
  }
  for (const uint64_t number : numbers) {
    const auto found = active_requests_.find(number);
    if (found != active_requests_.end() && !found->second->plan->has_result()) {
      RunStep(number, [this, number, &found] {
        ExecuteActions(number,
                       found->second->plan->OnForbidden(
                           {}, kOtherInstanceRetryDelay, "the instance ends"));
      });
    }
  }
}

void RequestRouter::HandleForwarded(
    HttpRequest request,
    const std::shared_ptr<HttpExchange>& exchange) {
  last_request_ = Now();
  const std::optional<ForwardInfo> info = TakeForwardInfo(request.headers);
  Result<CallerRequest> caller = ParseCallerRequest(dialect_, request.headers);
  const RouteTablePtr table = hooks_.active_routes();
  if (reach_->is_cut_off()) {
    exchange->Reply(HttpResponse{.status = kForwardRefusedStatus,
                                 .headers = {{kCutOffHeader, "1"}}});
    return;
  }
  if (!info || !caller || !table || !CanDecide(*table, *info) ||
      in_flight_ >= limits_.in_flight) {
    exchange->Reply(HttpResponse{.status = kForwardRefusedStatus});
    return;
  }
  const auto answered = std::make_shared<PeerExchange>(exchange, caller->id);
  const Route* const route = FindRoute(*table, *caller, request.path, answered);
  if (route == nullptr) {
    return;
  }
  if (!Takes(last_request_, *caller, *route)) {
    exchange->Reply(HttpResponse{.status = kForwardRefusedStatus});
    return;
  }
  if (!CheckForwardedAccess(*table, *route, *info, *caller, answered)) {
    return;
  }
  const std::shared_ptr<HttpExchange> counted =
      CheckForwardedQuota(*table, *info, *caller, answered);
  if (counted) {
    StartRequest(std::move(request), *std::move(caller), counted, table, route,
                 true);
  }
}

void RequestRouter::Forward(HttpRequest request,
                            CallerRequest caller,
                            const std::shared_ptr<HttpExchange>& exchange,
                            const RouteTablePtr& table,
                            const Route* route,
                            const Hop& hop) {
  const TimePoint now = Now();
  const RequestDigest digest =
      DigestOf(caller, request.method, request.target, request.body);
  const SuspectVerdict verdict = suspects_->Judge(now, digest);
  if (verdict.decision == SuspectDecision::kReject) {
    RejectSuspect(caller, exchange, digest, verdict);
    return;
  }
  const std::chrono::milliseconds time_left = TimeLeft(caller, *route);
  ForwardedQuery query;
  query.request_id = caller.id;
  query.may_get =
      [plans = plans_, allows = hop.allows,
       terms = TermsOf(*route, table->FindOrganisation(caller.organisation))](
          const InstanceRecord& peer) {
        return (plans->placement.*allows)(terms, peer.data_centre);
      };
  query.info.configuration = table->version();
  if (table->requires_keys() || !route->allowed_regions.empty()) {
    query.info.organisation = caller.organisation;
  }
  query.info.caller = ForwardedCaller{caller.key, IsCharged(*table, caller)};
  query.expected_by = now + route->target_latency;
  query.call.method = request.method;
  query.call.target = request.target;
  query.call.body = request.body;
  query.call.deadline = now + time_left;
  query.call.headers = ForwardedHeaders(dialect_, request.headers);
  if (table->requires_keys()) {
    SetOrganisation(dialect_, "", query.call.headers);  // The peer sets it.
  }
  query.call.before_send = [weak = weak_from_this(),
                            deadline = query.call.deadline](
                               TimePoint sent, HeaderList& headers) {
    if (const auto self = weak.lock()) {
      SetTimeLeft(self->dialect_, ToMilliseconds(deadline - sent), headers);
    }
    return std::optional<Failure>();
  };
  hop.forward(
      std::move(query), exchange,
      [weak = weak_from_this(), request = std::move(request),
       caller = std::move(caller), table, route, now, time_left,
       otherwise =
           hop.otherwise](const std::shared_ptr<HttpExchange>& returned) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        CallerRequest late = caller;
        late.time_left = std::max(std::chrono::milliseconds(1),
                                  ToMilliseconds(now + time_left - Now()));
        ((*self).*otherwise)(request, std::move(late), returned, table, route);
      });
}

void RequestRouter::Reject(const std::string& request_id,
                           const std::shared_ptr<HttpExchange>& exchange,
                           const Failure& failure,
                           Duration retry_delay) {
  LogLine(DecisionEvent::kRequestRefused)
      .Add("request_id", request_id)
      .Add("cause", FailureKindName(failure.kind))
      .Add("subject", failure.subject)
      .Add("detail", failure.detail)
      .Write();
  metrics_->requests[{"", std::string(FailureKindName(failure.kind))}].Add();
  switch (failure.kind) {
    case FailureKind::kNotFound:
      exchange->Reply(Rejection(kNotFound, failure));
      return;
    case FailureKind::kOverQuota: {
      HttpResponse response = ServiceUnavailable(failure, retry_delay);
      response.status = kTooManyRequests;
      exchange->Reply(std::move(response));
      return;
    }
    case FailureKind::kUnauthorized: {
      HttpResponse response = Rejection(kUnauthorized, failure);
      response.headers.emplace_back("WWW-Authenticate", dialect_.key_scheme);
      exchange->Reply(std::move(response));
      return;
    }
    case FailureKind::kMissingKey:
    case FailureKind::kInvalidSyntax:
      exchange->Reply(Rejection(kBadRequest, failure));
      return;
    default:
      exchange->Reply(ServiceUnavailable(failure, retry_delay));
      return;
  }
}

void RequestRouter::StartRequest(HttpRequest request,
                                 CallerRequest caller,
                                 const std::shared_ptr<HttpExchange>& exchange,
                                 RouteTablePtr table,
                                 const Route* route,
                                 bool is_for_peer) {
  const TimePoint now = Now();
  const RequestDigest digest =
      DigestOf(caller, request.method, request.target, request.body);
  const SuspectVerdict verdict = suspects_->Admit(now, digest);
  if (verdict.decision == SuspectDecision::kDefer ||
      verdict.decision == SuspectDecision::kReject) {
    RejectSuspect(caller, exchange, digest, verdict);
    return;
  }
  const uint64_t number = ++last_number_;
  exchange->OnClientDisconnected([weak = weak_from_this(), number] {
    if (const auto self = weak.lock()) {
      self->RunStep(number,
                    [&self, number] { self->OnCallerDisconnected(number); });
    }
  });
  Arrival arrival;
  arrival.digest = digest;
  arrival.is_suspect = verdict.decision == SuspectDecision::kServeWarily;
  arrival.arrived = now;
  arrival.deadline = now + TimeLeft(caller, *route);
  arrival.request = std::move(request);
  arrival.caller = std::move(caller);
  arrival.exchange = exchange;
  arrival.table = std::move(table);
  arrival.route = route;
  arrival.is_for_peer = is_for_peer;
  if (arrival.is_suspect) {
    AwaitSlot(number, std::move(arrival), verdict.slots);
  } else {
    Launch(number, std::move(arrival), std::nullopt);
  }
}

void RequestRouter::Launch(uint64_t number,
                           Arrival arrival,
                           const std::optional<CrashSlot>& slot) {
  const TimePoint now = Now();
  auto active = std::make_shared<ActiveRequest>(std::move(arrival));
  active->number = number;
  active->slot = slot;
  active->headers =
      HeadersForSearchers(active->request, active->caller, *active->table);
  active->registry_age = hooks_.registry_age();
  active->plan.emplace(
      now, active->table, active->route,
      TermsOf(*active->route,
              active->table->FindOrganisation(active->caller.organisation)),
      active->deadline, plans_, [this] { return ++last_attempt_id_; },
      active->is_suspect ? AttemptPolicy::kOneAtATime
                         : AttemptPolicy::kParallel);
  active_requests_[number] = active;
  ++in_flight_;
  RunStep(number, [this, &active, now] {
    ExecuteActions(active->number, active->plan->Start(now));
  });
}

void RequestRouter::FailRequest(uint64_t number) {
  if (const auto waiting = DropWaiting(number)) {
    waiting->arrival.exchange->Reply(HttpResponse{.status = kInternalError});
    return;
  }
  const auto found = active_requests_.find(number);
  if (found == active_requests_.end()) {
    return;
  }
  const std::shared_ptr<ActiveRequest> active = found->second;
  const RequestActions actions = active->plan->OnCallerLeft(Now());
  if (active->plan->open_attempts() == 0) {
    active_requests_.erase(found);
    EndSlot(active);
  }
  for (const uint64_t attempt : actions.cancels) {
    clients_->Cancel(attempt);
  }
  active->exchange->Reply(HttpResponse{.status = kInternalError});
  EndRequest(*active);
}

void RequestRouter::EndRequest(ActiveRequest& active) {
  if (!std::exchange(active.has_ended, true)) {
    --in_flight_;
    ReleaseSuspect(active);
  }
}

void RequestRouter::ExecuteActions(uint64_t number, RequestActions actions) {
  const auto found = active_requests_.find(number);
  if (found == active_requests_.end()) {
    return;
  }
  const std::shared_ptr<ActiveRequest> active = found->second;
  for (const AttemptToSend& send : actions.sends) {
    SendAttempt(*active, send);
  }
  for (const uint64_t attempt : actions.cancels) {
    clients_->Cancel(attempt);
  }
  if (actions.result) {
    Answer(*active, *std::move(actions.result));
  }
  const std::optional<TimePoint> next = active->plan->next_timer();
  if (next && (!active->timer_armed_for || *next < *active->timer_armed_for)) {
    active->timer_armed_for = next;
    timers_->deadlines.Add(*next, number);
    ArmTimer();
  }
  if (active->plan->has_result() && active->plan->open_attempts() == 0 &&
      active_requests_.erase(number) > 0) {
    EndSlot(active);
  }
}

void RequestRouter::SendAttempt(ActiveRequest& active,
                                const AttemptToSend& send) {
  const TimePoint now = Now();
  ++active.attempts;
  const SearcherEntry& searcher = send.searcher->entry();
  active.extra_attempts += send.reason == AttemptReason::kFirst ? 0 : 1;
  active.attempt_records.push_back({send.id, send.reason, searcher.service,
                                    searcher.id, now - active.arrived,
                                    send.expected, std::nullopt,
                                    Duration::zero(), ""});
  metrics_
      ->local_attempts[{std::string(LocalityName(plans_->placement.LocalityOf(
                            searcher.data_centre))),
                        std::string(AttemptReasonName(send.reason))}]
      .Add();
  if (send.searcher->rate_limit().limit()) {
    metrics_
        ->limited_attempts[{searcher.service,
                            std::string(AttemptReasonName(send.reason))}]
        .Add();
  }
  HttpCall call;
  call.method = active.request.method;
  call.target = active.request.target;
  call.body = active.request.body;
  call.deadline = send.deadline;
  call.headers =
      AttemptHeaders(dialect_, active.headers,
                     ToMilliseconds(send.deadline - now), searcher.id);
  call.before_send = [weak = weak_from_this(), number = active.number, send](
                         TimePoint sent, HeaderList& headers) {
    const auto self = weak.lock();
    return self ? self->CheckBeforeSend(number, send, sent, headers)
                : Failure{FailureKind::kUnavailable, "instance", "it ended"};
  };
  // The answer names the request, but not the attempt that it answers.
  call.needs_unused_connection = send.is_repeat;
  call.check = [this, id = active.caller.id](const HttpResponse& response) {
    if (!NamesRequest(dialect_, response.headers)) {
      return HttpResponseMatch::kUnidentified;
    }
    return IsMismatchedAnswer(dialect_, response.headers, id)
               ? HttpResponseMatch::kMismatch
               : HttpResponseMatch::kMatch;
  };
  clients_->Start(*send.searcher, send.id, std::move(call),
                  [weak = weak_from_this(), number = active.number,
                   send](const HttpCallResult& result) {
                    if (const auto self = weak.lock()) {
                      self->RunStep(number, [&] {
                        self->OnAttemptEnded(number, send, result);
                      });
                    }
                  });
}

std::optional<Failure> RequestRouter::CheckBeforeSend(uint64_t number,
                                                      const AttemptToSend& send,
                                                      TimePoint now,
                                                      HeaderList& headers) {
  const std::string& searcher = send.searcher->entry().id;
  const auto found = active_requests_.find(number);
  if (found == active_requests_.end() || found->second->plan->has_result()) {
    return Failure{FailureKind::kCancelled, searcher, "no longer needed"};
  }
  if (send.searcher->IsLeaving(now)) {
    return Failure{FailureKind::kUnavailable, searcher, "it is leaving"};
  }
  if (!plans_->placement.AllowsSearcher(found->second->plan->terms(),
                                        send.searcher->entry().data_centre)) {
    return Failure{FailureKind::kUnavailable, searcher,
                   "its data centre is evacuated"};
  }
  if (JudgeSend(now, *found->second).decision != SuspectDecision::kServe) {
    return Failure{FailureKind::kUnavailable, searcher, kSuspectDetail};
  }
  if (send.searcher->ClosedFor(now) > Duration::zero()) {
    return Failure{FailureKind::kOverloaded, searcher,
                   "it wants no requests for now"};
  }
  if (now >= send.deadline) {
    return Failure{FailureKind::kTimedOut, searcher, "no time is left"};
  }
  if (!send.searcher->RenewToken(
          now, send.id, plans_->LimitShareOf(*send.searcher), send.tokens)) {
    return Failure{FailureKind::kOverloaded, searcher,
                   "its request limit is used up"};
  }
  SetTimeLeft(dialect_, ToMilliseconds(send.deadline - now), headers);
  return std::nullopt;
}

void RequestRouter::OnAttemptEnded(uint64_t number,
                                   const AttemptToSend& sent,
                                   const HttpCallResult& result) {
  const auto found = active_requests_.find(number);
  if (found == active_requests_.end()) {
    return;
  }
  AttemptOutcome outcome = ToAttemptOutcome(dialect_, result);
  metrics_
      ->attempts[{std::string(AttemptReasonName(sent.reason)),
                  std::string(AttemptEndName(outcome.end))}]
      .Add();
  for (AttemptRecord& attempt_record : found->second->attempt_records) {
    if (attempt_record.attempt == sent.id) {
      attempt_record.end = outcome.end;
      attempt_record.ended = Now() - found->second->arrived;
      attempt_record.detail = outcome.detail;
    }
  }
  RecordReach(sent, result);
  if (outcome.leaving) {
    plans_->searchers.OnAnnouncedLeaving(sent.searcher);
    found->second->leaving.push_back(sent.searcher->entry());
  }
  if (outcome.end == AttemptEnd::kLost ||
      outcome.end == AttemptEnd::kAbandoned) {
    found->second->unanswered.push_back(sent.searcher);
  }
  if (outcome.end == AttemptEnd::kLost && !result.response &&
      result.response.last_reason().kind == FailureKind::kConnectionClosed) {
    CheckForCrash(found->second, sent.searcher);
  }
  RequestPlan& plan = *found->second->plan;
  const bool withheld = outcome.end == AttemptEnd::kWithheld;
  const TimePoint now = Now();
  RequestActions actions =
      plan.OnAttemptEnded(now, sent.id, std::move(outcome));
  if (withheld) {
    const SuspectVerdict verdict = JudgeSend(now, *found->second);
    if (verdict.decision != SuspectDecision::kServe) {
      actions = plan.OnForbidden(std::move(actions), verdict.retry_after,
                                 kSuspectDetail);
    }
  }
  ExecuteActions(number, std::move(actions));
}

void RequestRouter::RecordReach(const AttemptToSend& sent,
                                const HttpCallResult& result) {
  const TimePoint now = Now();
  const std::string& searcher = sent.searcher->entry().id;
  if (result.response) {
    reach_->OnAnswered(searcher);
    reach_->OnReached(now, sent.searcher->entry().data_centre);
    return;
  }
  const FailureKind kind = result.response.last_reason().kind;
  const bool was_silent =
      (kind == FailureKind::kCancelled || kind == FailureKind::kTimedOut) &&
      sent.searcher->UnansweredFor(now) >= kSilenceTime;
  if (kind == FailureKind::kConnectFailed ||
      kind == FailureKind::kConnectionClosed ||
      kind == FailureKind::kSilentConnection || was_silent) {
    reach_->OnUnreachable(now, searcher);
  }
}

void RequestRouter::OnCallerDisconnected(uint64_t number) {
  if (DropWaiting(number)) {
    metrics_->callers_left.Add();
    return;
  }
  const auto found = active_requests_.find(number);
  if (found == active_requests_.end() || found->second->plan->has_result()) {
    return;
  }
  metrics_->callers_left.Add();
  RequestActions actions = found->second->plan->OnCallerLeft(Now());
  EndRequest(*found->second);
  LogRequestEnd(*found->second, *actions.result, 0, Now());
  actions.result.reset();  // The caller has disconnected.
  ExecuteActions(number, std::move(actions));
}

void RequestRouter::Answer(ActiveRequest& active, RequestResult result) {
  EndRequest(active);
  const TimePoint now = Now();
  const Route& route = active.plan->route();
  metrics_
      ->requests[{route.name, std::string(RequestOutcomeName(result.outcome))}]
      .Add();
  metrics_->request_time[route.name].Record(now - active.arrived);
  HttpResponse response = ToResponse(route, result);
  LogRequestEnd(active, result, response.status, now);
  if (active.is_for_peer) {
    SetLeavingSearchers(active.leaving, response.headers);
  }
  active.exchange->Reply(std::move(response));
}

HttpResponse RequestRouter::ToResponse(const Route& route,
                                       RequestResult& result) const {
  HttpResponse response;
  const std::string cause(result.cause);
  switch (result.outcome) {
    case RequestOutcome::kForwarded:
      response.status = result.answer.status;
      response.content_type.clear();
      response.headers = std::move(result.answer.headers);
      response.body = std::move(result.answer.body);
      return response;
    case RequestOutcome::kMerged: {
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
    case RequestOutcome::kNotRun:
      return ServiceUnavailable(
          Failure{FailureKind::kOverloaded, "route " + route.name, cause},
          result.retry_after);
    case RequestOutcome::kTimedOut:
      return ErrorResponse(
          kGatewayTimeout,
          Failure{FailureKind::kTimedOut, "route " + route.name, cause});
    case RequestOutcome::kUnknown:
    case RequestOutcome::kCallerLeft:
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
    const auto found = active_requests_.find(number);
    if (found == active_requests_.end()) {
      continue;
    }
    found->second->timer_armed_for.reset();
    RunStep(number, [this, number, now, plan = &*found->second->plan] {
      const std::optional<TimePoint> next = plan->next_timer();
      ExecuteActions(
          number, next && *next <= now ? plan->OnTimer(now) : RequestActions());
    });
  }
  ArmTimer();
}

}  // namespace greengage
