// The parts of a RequestRouter that find out on whose behalf a caller sends.
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "greengage/coordination/caller_access.h"
#include "greengage/state/request_terms.h"
#include "transport/forwarding_exchange.h"
#include "transport/request_router_state.h"

namespace greengage {
namespace {

// Retry delay of a request that no region may serve. Only another configuration
// can change that.
constexpr Duration kNoRegionRetryDelay = std::chrono::seconds(5);

// Reports an answer which says that the request has not run.
class CountedExchange : public ForwardingExchange {
 public:
  CountedExchange(std::shared_ptr<HttpExchange> caller,
                  std::function<void()> on_not_run)
      : ForwardingExchange(std::move(caller)),
        on_not_run_(std::move(on_not_run)) {}

  void Reply(HttpResponse response) override {
    if (response.not_run) {
      if (const auto on_not_run = std::exchange(on_not_run_, nullptr)) {
        on_not_run();
      }
    }
    ForwardingExchange::Reply(std::move(response));
  }

 private:
  std::function<void()> on_not_run_;
};

}  // namespace

std::optional<KeyDigest> RequestRouter::KeyOf(
    const CallerRequest& caller) const {
  return KeyOfCaller(dialect_.key_scheme, caller.has_ambiguous_credentials
                                              ? std::nullopt
                                              : caller.credentials);
}

bool RequestRouter::CheckAccess(const RouteTable& table,
                                const Route& route,
                                CallerRequest& caller,
                                const std::shared_ptr<HttpExchange>& exchange) {
  const CallerAccess access = DecideAccess(table, route, caller.key);
  switch (access.verdict) {
    case AccessVerdict::kAllowed:
      UseOrganisation(
          table, access.organisation ? access.organisation->name : "", caller);
      return true;
    case AccessVerdict::kNoRegion:
      Reject(caller.id, exchange,
             Failure{FailureKind::kUnavailable, "route " + route.name,
                     "no region may serve the caller"},
             kNoRegionRetryDelay);
      return false;
    case AccessVerdict::kNoKey:
    case AccessVerdict::kUnknownKey:
      break;
  }
  // An instance that has lost touch may lack the version that has the key.
  if (access.verdict == AccessVerdict::kUnknownKey && hooks_.may_be_stale()) {
    Reject(caller.id, exchange,
           Failure{FailureKind::kUnavailable, "instance",
                   "its configuration may be out of date"});
    return false;
  }
  Reject(caller.id, exchange,
         Failure{FailureKind::kUnauthorized, "caller",
                 std::string(AccessVerdictName(access.verdict)) +
                     " in configuration " + std::to_string(table.version())});
  return false;
}

void RequestRouter::UseOrganisation(const RouteTable& table,
                                    const std::string& name,
                                    CallerRequest& caller) {
  if (table.requires_keys()) {
    caller.organisation = name;
    caller.credentials.reset();
  }
}

HeaderList RequestRouter::HeadersForSearchers(const HttpRequest& request,
                                              const CallerRequest& caller,
                                              const RouteTable& table) const {
  HeaderList headers = ForwardedHeaders(dialect_, request.headers);
  if (table.requires_keys()) {
    SetOrganisation(dialect_, caller.organisation, headers);
  }
  return headers;
}

bool RequestRouter::IsCharged(const RouteTable& table,
                              const CallerRequest& caller) const {
  const Organisation* const organisation =
      table.FindOrganisation(caller.organisation);
  return organisation != nullptr && organisation->quota.is_limited() &&
         hooks_.admit;
}

std::shared_ptr<HttpExchange> RequestRouter::CheckQuota(
    const RouteTable& table,
    const CallerRequest& caller,
    const std::shared_ptr<HttpExchange>& exchange) {
  if (!IsCharged(table, caller)) {
    return exchange;
  }
  const Organisation* const organisation =
      table.FindOrganisation(caller.organisation);
  const QuotaVerdict verdict = hooks_.admit(*organisation);
  const std::string decision = verdict.admitted   ? "admitted"
                               : verdict.is_alone ? "beyond_own_share"
                                                  : "over_quota";
  metrics_->quota_decisions[{organisation->name, decision}].Add();
  if (!verdict.admitted) {
    Reject(
        caller.id, exchange,
        Failure{FailureKind::kOverQuota, "organisation " + organisation->name,
                verdict.is_alone ? "no ledger answers; its share of the "
                                   "quota at this instance is used up"
                                 : "its quota is used up"},
        verdict.retry_after);
    return nullptr;
  }
  if (verdict.is_alone) {
    return exchange;  // No ledger counts it.
  }
  return std::make_shared<CountedExchange>(
      exchange, [weak = weak_from_this(), name = organisation->name] {
        if (const auto self = weak.lock()) {
          self->hooks_.on_not_run(name);
        }
      });
}

bool RequestRouter::CanDecide(const RouteTable& table,
                              const ForwardInfo& info) {
  if (table.version() < info.configuration) {
    return false;
  }
  // A sender of an earlier release names the organisation of a key by its own
  // configuration. Another one may not have the key.
  return info.caller || !info.organisation ||
         (table.version() == info.configuration &&
          (info.organisation->empty() ||
           table.FindOrganisation(*info.organisation) != nullptr));
}

bool RequestRouter::CheckForwardedAccess(
    const RouteTable& table,
    const Route& route,
    const ForwardInfo& info,
    CallerRequest& caller,
    const std::shared_ptr<HttpExchange>& exchange) {
  if (info.caller) {
    caller.key = info.caller->key;
  } else if (info.organisation) {
    UseOrganisation(table, *info.organisation, caller);
    return true;
  } else {
    caller.key = KeyOf(caller);
  }
  return CheckAccess(table, route, caller, exchange);
}

std::shared_ptr<HttpExchange> RequestRouter::CheckForwardedQuota(
    const RouteTable& table,
    const ForwardInfo& info,
    const CallerRequest& caller,
    const std::shared_ptr<HttpExchange>& exchange) {
  const bool is_charged =
      info.caller ? info.caller->is_charged : info.organisation.has_value();
  return is_charged && info.organisation == caller.organisation
             ? exchange
             : CheckQuota(table, caller, exchange);
}

}  // namespace greengage
