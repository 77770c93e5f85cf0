#include "greengage/transport/gather_forwarder.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string_view>
#include <utility>
#include <vector>

#include "greengage/protocol/caller_codec.h"
#include "greengage/protocol/leaving_codec.h"
#include "greengage/state/searcher_answer.h"
#include "greengage/transport/guard.h"
#include "transport/clock.h"
#include "transport/forwarding_exchange.h"

namespace greengage {
namespace {

constexpr char kConfigurationHeader[] = "Greengage-Configuration";
// Before the name of the organisation. A release that knows none refuses such a
// query, and removes the header if a caller sends it.
constexpr char kOrganisationSeparator = ';';
// A second header of the same name describes the caller. Earlier releases read
// the first one only, and remove both.
constexpr std::string_view kKeyField = "key=";
constexpr std::string_view kChargedSuffix = ";charged";

// A peer that does not answer a small request in this time counts as lost.
constexpr std::chrono::milliseconds kAliveTimeout{200};
constexpr std::chrono::milliseconds kAliveInterval{400};

constexpr std::chrono::milliseconds kConnectTimeout{200};
constexpr std::chrono::milliseconds kIdleTimeout{30000};
constexpr size_t kMaxConnections = 64;

// An answer has a signature for each of the parts in its headers.
constexpr uint32_t kMaxHeaderBytes = 256 * 1024;
constexpr size_t kMaxAnswerBytes = size_t{4} << 20;

enum HttpStatus : unsigned {
  kInternalError = 500,
  kBadGateway = 502,
  kGatewayTimeout = 504,
};

// Passes a caller's exchange on to a local plan. The hook for the caller's
// disconnection must be set before the handler of the exchange returns, so the
// forwarder sets one of its own and calls the hook that the plan sets later.
class RelayedExchange : public ForwardingExchange {
 public:
  using ForwardingExchange::ForwardingExchange;

  void OnClientDisconnected(std::function<void()> hook) override {
    hook_ = std::move(hook);
  }

  void SetDisconnected() {
    if (const auto hook = std::exchange(hook_, nullptr)) {
      hook();
    }
  }

 private:
  std::function<void()> hook_;
};

PeerFailure FailureOf(const HttpCallResult& result) {
  if (!result.response) {
    return PeerFailure::kNoAnswer;
  }
  return FindHeader(result.response->headers, kCutOffHeader)
             ? PeerFailure::kCutOff
             : PeerFailure::kRefused;
}

// Callers may send headers of the same names.
void RemoveForwardInfo(HeaderList& headers) {
  std::erase_if(headers, [](const auto& header) {
    return IsSameHeader(header.first, kConfigurationHeader);
  });
}

std::string FormatCaller(const ForwardedCaller& caller) {
  std::string value(kKeyField);
  value += caller.key ? ToString(*caller.key) : "";
  value += caller.is_charged ? kChargedSuffix : "";
  return value;
}

std::optional<ForwardedCaller> ParseCaller(std::string_view value) {
  if (!value.starts_with(kKeyField)) {
    return std::nullopt;
  }
  value.remove_prefix(kKeyField.size());
  ForwardedCaller caller;
  caller.is_charged = value.ends_with(kChargedSuffix);
  if (caller.is_charged) {
    value.remove_suffix(kChargedSuffix.size());
  }
  caller.key = ParseKeyDigest(value);
  return caller.key || value.empty() ? std::optional(caller) : std::nullopt;
}

}  // namespace

void AddForwardInfo(const ForwardInfo& info, HeaderList& headers) {
  RemoveForwardInfo(headers);
  std::string value = std::to_string(info.configuration);
  if (info.organisation) {
    value += kOrganisationSeparator + *info.organisation;
  }
  headers.emplace_back(kConfigurationHeader, std::move(value));
  if (info.caller) {
    headers.emplace_back(kConfigurationHeader, FormatCaller(*info.caller));
  }
}

bool HasForwardInfo(const HeaderList& headers) {
  return FindHeader(headers, kConfigurationHeader).has_value();
}

std::optional<ForwardInfo> TakeForwardInfo(HeaderList& headers) {
  std::vector<std::string_view> values;
  for (const auto& [name, value] : headers) {
    if (IsSameHeader(name, kConfigurationHeader)) {
      values.push_back(value);
    }
  }
  if (values.empty() || values.size() > 2) {
    return std::nullopt;
  }
  const std::string_view version = values.front();
  ForwardInfo info;
  const size_t separator =
      std::min(version.find(kOrganisationSeparator), version.size());
  const auto parsed = std::from_chars(
      version.data(), version.data() + separator, info.configuration);
  if (parsed.ec != std::errc() || parsed.ptr != version.data() + separator) {
    return std::nullopt;
  }
  if (separator < version.size()) {
    info.organisation = version.substr(separator + 1);
  }
  if (values.size() == 2) {
    info.caller = ParseCaller(values.back());
    if (!info.caller) {
      return std::nullopt;
    }
  }
  RemoveForwardInfo(headers);
  return info;
}

// A query on its way to a gatherer.
class GatherForwarder::Query
    : public std::enable_shared_from_this<GatherForwarder::Query> {
 public:
  Query(std::shared_ptr<GatherForwarder> forwarder,
        ForwardedQuery query,
        const std::shared_ptr<HttpExchange>& exchange,
        GatherHere gather_here)
      : forwarder_(std::move(forwarder)),
        query_(std::move(query)),
        exchange_(std::make_shared<RelayedExchange>(exchange)),
        gather_here_(std::move(gather_here)),
        started_(Now()),
        timer_(forwarder_->context_),
        number_(++forwarder_->last_query_) {}

  ~Query() { forwarder_->queries_.erase(number_); }

  void EndUnanswered() {
    client_->Cancel(call_);
    Fail(kBadGateway, Now());
  }

  void Start(HttpExchange& caller) {
    forwarder_->queries_[number_] = weak_from_this();
    caller.OnClientDisconnected(
        [weak = weak_from_this(),
         relayed = std::weak_ptr<RelayedExchange>(exchange_)] {
          const auto self = weak.lock();
          if (self && !self->ended_) {
            self->OnCallerLeft();
          } else if (const auto exchange = relayed.lock()) {
            exchange->SetDisconnected();
          }
        });
    SendToNext();
  }

 private:
  void SendToNext() {
    const TimePoint now = Now();
    const InstanceRecord* const gatherer =
        tried_.size() >= forwarder_->max_peers_
            ? nullptr
            : forwarder_->chooser_->Choose(now, tried_, *forwarder_->random_,
                                           query_.may_get);
    if (gatherer == nullptr) {
      GatherHere();
      return;
    }
    tried_.push_back(gatherer->id);
    forwarder_->chooser_->OnSent(gatherer->id);
    HttpCall call = query_.call;
    AddForwardInfo(query_.info, call.headers);
    call.check = [id = query_.request_id](const HttpResponse& response) {
      const auto answered =
          FindHeader(response.headers, kAnsweredRequestHeader);
      return !answered || *answered == id ? HttpResponseMatch::kMatch
                                          : HttpResponseMatch::kMismatch;
    };
    client_ = forwarder_->ClientFor(gatherer->peer);
    call_ = client_->Start(std::move(call), [self = shared_from_this()](
                                                const HttpCallResult& result) {
      if (!RunGuarded("forwarded_query",
                      [&self, &result] { self->OnResult(result); })) {
        self->exchange_->Reply(HttpResponse{.status = kInternalError});
        self->End();
      }
    });
    ScheduleCheck(std::max(Duration::zero(), query_.expected_by - now));
  }

  void OnResult(const HttpCallResult& result) {
    if (ended_) {
      return;
    }
    timer_.cancel();
    const TimePoint now = Now();
    const std::string gatherer = tried_.back();
    GathererChooser& chooser = *forwarder_->chooser_;
    if (result.response && result.response->status != kForwardRefusedStatus) {
      chooser.OnAnswered(gatherer);
      Reply(*result.response, now);
      return;
    }
    chooser.OnFailed(now, gatherer, FailureOf(result));
    forwarder_->hooks_.on_failed(
        query_.request_id, gatherer,
        result.response ? "refused" : Describe(result.response.last_reason()));
    if (now >= query_.call.deadline) {
      Fail(kGatewayTimeout, now);
    } else if (!result.response && result.sent) {
      Fail(kBadGateway, now);
    } else {
      SendToNext();
    }
  }

  // A status may promise that the query has not run only if the gatherer says
  // so. One of an earlier release passes on the status of a searcher that may
  // have run it.
  void Reply(HttpResponse response, TimePoint now) {
    response.not_run = FindHeader(response.headers, kNotRunHeader).has_value();
    if (PromisesNotRun(response.status) && !response.not_run) {
      Fail(kBadGateway, now, "it does not say that the query has not run");
      return;
    }
    std::erase_if(response.headers, [](const auto& header) {
      return IsSameHeader(header.first, kAnsweredRequestHeader) ||
             IsSameHeader(header.first, kNotRunHeader) ||
             IsSameHeader(header.first, "Content-Length") ||
             IsSameHeader(header.first, "Content-Type") ||
             IsSameHeader(header.first, "Connection") ||
             IsSameHeader(header.first, "Server") ||
             IsSameHeader(header.first, "Keep-Alive");
    });
    for (const SearcherEntry& leaving :
         TakeLeavingSearchers(response.headers)) {
      if (forwarder_->hooks_.on_leaving) {
        forwarder_->hooks_.on_leaving(leaving);
      }
    }
    forwarder_->hooks_.on_answered(query_.request_id, tried_.back(),
                                   query_.info.configuration, response.status,
                                   now - started_);
    exchange_->Reply(std::move(response));
    End();
  }

  void Fail(unsigned status,
            TimePoint now,
            std::string detail = "it did not answer the query") {
    forwarder_->hooks_.on_answered(query_.request_id, tried_.back(),
                                   query_.info.configuration, status,
                                   now - started_);
    exchange_->Reply(
        HttpResponse{.status = status,
                     .body = SerializeFailure(
                         {status == kGatewayTimeout ? FailureKind::kTimedOut
                                                    : FailureKind::kUnavailable,
                          "gatherer " + tried_.back(), std::move(detail)})});
    End();
  }

  void GatherHere() {
    End();
    gather_here_(exchange_);
  }

  // A gatherer that is slow still answers other requests; a lost one does not.
  void ScheduleCheck(Duration delay) {
    timer_.expires_after(delay);
    timer_.async_wait([weak = weak_from_this()](auto error) {
      const auto self = weak.lock();
      if (!error && self && !self->ended_) {
        self->Check();
      }
    });
  }

  void Check() {
    HttpCall probe;
    probe.target = kAlivePath;
    probe.deadline = Now() + kAliveTimeout;
    const size_t attempt = tried_.size();
    client_->Start(std::move(probe), [weak = weak_from_this(),
                                      attempt](const HttpCallResult& result) {
      const auto self = weak.lock();
      if (!self || self->ended_ || attempt != self->tried_.size()) {
        return;
      }
      if (result.response) {
        self->ScheduleCheck(kAliveInterval);
      } else {
        self->client_->Cancel(self->call_);
      }
    });
  }

  void OnCallerLeft() {
    forwarder_->chooser_->OnAbandoned(tried_.back());
    client_->Cancel(call_);
    End();
  }

  void End() {
    ended_ = true;
    timer_.cancel();
    forwarder_->queries_.erase(number_);
  }

  const std::shared_ptr<GatherForwarder> forwarder_;
  const ForwardedQuery query_;
  const std::shared_ptr<RelayedExchange> exchange_;
  const GatherForwarder::GatherHere gather_here_;
  const TimePoint started_;
  boost::asio::steady_timer timer_;
  const uint64_t number_;
  std::vector<std::string> tried_;
  std::shared_ptr<HttpClient> client_;
  HttpClient::CallId call_ = 0;
  bool ended_ = false;
};

GatherForwarder::GatherForwarder(boost::asio::io_context& context,
                                 size_t max_peers,
                                 std::shared_ptr<ReceiveBudget> receive_budget,
                                 GathererChooser* chooser,
                                 std::minstd_rand* random,
                                 Hooks hooks)
    : context_(context),
      max_peers_(max_peers),
      receive_budget_(std::move(receive_budget)),
      chooser_(chooser),
      random_(random),
      hooks_(std::move(hooks)) {}

void GatherForwarder::Forward(ForwardedQuery query,
                              const std::shared_ptr<HttpExchange>& exchange,
                              GatherHere gather_here) {
  const auto forwarded = std::make_shared<Query>(
      shared_from_this(), std::move(query), exchange, std::move(gather_here));
  forwarded->Start(*exchange);
}

void GatherForwarder::EndAll() {
  for (const auto& [number, weak] :
       std::map<uint64_t, std::weak_ptr<Query>>(queries_)) {
    if (const auto query = weak.lock()) {
      query->EndUnanswered();
    }
  }
}

std::shared_ptr<HttpClient> GatherForwarder::ClientFor(
    const Endpoint& endpoint) {
  std::shared_ptr<HttpClient>& client = clients_[endpoint];
  if (!client) {
    HttpClientLimits limits;
    limits.connections = kMaxConnections;
    limits.header_bytes = kMaxHeaderBytes;
    limits.body_bytes = kMaxAnswerBytes;
    limits.receive_budget = receive_budget_;
    limits.connect_timeout = kConnectTimeout;
    limits.idle_timeout = kIdleTimeout;
    client = HttpClient::Create(context_, endpoint, limits);
  }
  return client;
}

}  // namespace greengage
