// Routes opaque requests to searchers as decided by RequestPlan.
#ifndef GREENGAGE_TRANSPORT_REQUEST_ROUTER_H_
#define GREENGAGE_TRANSPORT_REQUEST_ROUTER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "greengage/coordination/crash_suspects.h"
#include "greengage/coordination/held_crash_slots.h"
#include "greengage/coordination/quota_gate.h"
#include "greengage/coordination/request_plan.h"
#include "greengage/coordination/searcher_reach.h"
#include "greengage/protocol/call_dialect.h"
#include "greengage/protocol/routed_call_codec.h"
#include "greengage/state/crash_report.h"
#include "greengage/state/crash_slot.h"
#include "greengage/state/result.h"
#include "greengage/state/route_table.h"
#include "greengage/state/routed_metrics.h"
#include "greengage/transport/gather_forwarder.h"
#include "greengage/transport/guard.h"
#include "greengage/transport/http_server.h"
#include "greengage/transport/searcher_clients.h"

namespace greengage {

// Retry delay of an instance that is shutting down or has no configuration yet.
// It is short because another instance can answer a new connection at once.
inline constexpr Duration kOtherInstanceRetryDelay =
    std::chrono::milliseconds(200);

// Not thread-safe: all members run on the single thread of the io_context. The
// plan context, the suspects, the reach and the metrics must outlive the
// router.
class RequestRouter : public std::enable_shared_from_this<RequestRouter> {
 public:
  using ForwardHook = std::function<void(ForwardedQuery,
                                         const std::shared_ptr<HttpExchange>&,
                                         GatherForwarder::GatherHere)>;

  // Gets the slot that was taken, or nothing if all are taken. Fails with
  // kUnavailable if the store cannot be asked.
  using SlotCallback =
      std::function<void(const Result<std::optional<CrashSlot>>&)>;

  struct Hooks {
    // Returns the active routes, or null if there are none yet.
    std::function<RouteTablePtr()> active_routes;
    // Returns whether to take a request that may last for `longest`. A shutdown
    // takes none that would not end in time.
    std::function<bool(TimePoint now, Duration longest)> takes;
    // Returns the age of the searcher registry, for logs.
    std::function<Duration()> registry_age;
    // Returns true if the active configuration may have been replaced some time
    // ago, because this instance could not learn of it.
    std::function<bool()> may_be_stale;
    // Returns true if other instances gather the queries that arrive here.
    std::function<bool()> forwards_gathers;
    // Runs for each searcher that ended while it had a request of this
    // instance.
    std::function<void(const CrashReport&, CrashedRequest)> on_crash;
    // Runs for each request that searchers answered, after some had ended while
    // they had such a request. The keys are those of the reports.
    std::function<void(const std::vector<std::string>& keys)> on_cleared;
    // Takes one of the first `count` slots of a suspected request. `done` runs
    // once.
    std::function<
        void(const RequestDigest& digest, size_t count, SlotCallback done)>
        take_slot;
    // Runs when a request that had a slot has ended. May run again with other
    // use once more is known.
    std::function<void(const CrashSlot&, SlotUse)> on_slot_ended;
    // Decides whether the quota of an organisation with a limit admits a
    // request, and counts it.
    std::function<QuotaVerdict(const Organisation&)> admit;
    // Runs for each request that was admitted and has not run.
    std::function<void(const std::string& organisation)> on_not_run;
    // Forward a request to a gatherer, or to any peer, as
    // GatherForwarder::Forward() does.
    ForwardHook forward_to_gatherer;
    ForwardHook forward_to_peer;
  };

  struct Limits {
    size_t in_flight = 1024;  // Requests beyond this number are rejected.
  };

  RequestRouter(boost::asio::io_context& context,
                CallDialect dialect,
                Limits limits,
                RequestPlanContext* plans,
                CrashSuspects* suspects,
                SearcherReach* reach,
                std::shared_ptr<SearcherClients> clients,
                RoutedMetrics* metrics,
                Hooks hooks);
  ~RequestRouter();

  void Handle(HttpRequest request,
              const std::shared_ptr<HttpExchange>& exchange);

  // Handles a request that another instance forwarded. It is refused with
  // kForwardRefusedStatus if the other instance has a newer configuration or
  // this one cannot take it. Otherwise it is decided and served by the
  // configuration of this instance alone. An answer has kAnsweredRequestHeader,
  // kNotRunHeader if the request has not run, and names the searchers that said
  // that they leave when they answered.
  void HandleForwarded(HttpRequest request,
                       const std::shared_ptr<HttpExchange>& exchange);

  // Answers all requests that are in flight, because the process ends. Those
  // that no searcher can have run are rejected as not run.
  void EndAll();

  // Number of requests that have not been answered yet.
  size_t in_flight() const { return in_flight_; }

  // Arrival time of the latest request.
  TimePoint last_request() const { return last_request_; }

 private:
  struct AttemptRecord;
  struct ActiveRequest;
  struct Arrival;
  struct WaitingRequest;
  class Timers;

  // `is_for_peer` says that another instance forwarded the request.
  void StartRequest(HttpRequest request,
                    CallerRequest caller,
                    const std::shared_ptr<HttpExchange>& exchange,
                    RouteTablePtr table,
                    const Route* route,
                    bool is_for_peer = false);
  // Sends a suspected request once it has a slot.
  void AwaitSlot(uint64_t number, Arrival arrival, size_t slots);
  void OnSlot(uint64_t number, const Result<std::optional<CrashSlot>>& slot);
  // Returns null if the request no longer waits.
  std::shared_ptr<WaitingRequest> TakeWaiting(uint64_t number);
  // As TakeWaiting(), for a request that will not be sent.
  std::shared_ptr<WaitingRequest> DropWaiting(uint64_t number);
  // Rejects a request that waits for a slot.
  void RejectWaiting(uint64_t number,
                     const std::string& detail,
                     Duration retry_delay);
  void Launch(uint64_t number,
              Arrival arrival,
              const std::optional<CrashSlot>& slot);
  SuspectVerdict JudgeSend(TimePoint now, const ActiveRequest& active) const;
  // Decides what becomes of the slot of a request whose attempts have ended.
  void EndSlot(const std::shared_ptr<ActiveRequest>& active);
  // Gives the slot back if the searchers that did not answer still run.
  void CheckSlot(const std::shared_ptr<ActiveRequest>& active);
  // Serves the request here, or through a peer if the searchers cannot be
  // reached from here.
  void Serve(HttpRequest request,
             CallerRequest caller,
             const std::shared_ptr<HttpExchange>& exchange,
             const RouteTablePtr& table,
             const Route* route);
  using Continue = void (RequestRouter::*)(HttpRequest,
                                           CallerRequest,
                                           const std::shared_ptr<HttpExchange>&,
                                           const RouteTablePtr&,
                                           const Route*);
  // A way to other instances.
  struct Hop {
    const ForwardHook& forward;
    // Says whether an instance in a data centre may get the request.
    bool (PlacementRules::*allows)(const RequestTerms& terms,
                                   const std::string& data_centre) const;
    Continue otherwise;  // Runs if no instance takes the request.
  };
  void Forward(HttpRequest request,
               CallerRequest caller,
               const std::shared_ptr<HttpExchange>& exchange,
               const RouteTablePtr& table,
               const Route* route,
               const Hop& hop);
  // Serves a request that no peer took, while this instance is cut off from
  // the searchers. One that is restricted to regions of which it reaches none
  // is rejected: no instance that may have it can serve it.
  void ServeIfReachable(HttpRequest request,
                        CallerRequest caller,
                        const std::shared_ptr<HttpExchange>& exchange,
                        const RouteTablePtr& table,
                        const Route* route);
  // Serves the request here, even if the searchers cannot be reached.
  void ServeHere(HttpRequest request,
                 CallerRequest caller,
                 const std::shared_ptr<HttpExchange>& exchange,
                 const RouteTablePtr& table,
                 const Route* route);
  // Runs a step of a request. If it throws, the request is answered with status
  // 500, since searchers may have run it, and its attempts are cancelled.
  template <typename Step>
  void RunStep(uint64_t number, Step&& step) {
    if (!RunGuarded("routed_request", std::forward<Step>(step))) {
      RunGuarded("routed_request", [this, number] { FailRequest(number); });
    }
  }
  void FailRequest(uint64_t number);
  void RecordReach(const AttemptToSend& sent, const HttpCallResult& result);
  void ExecuteActions(uint64_t number, RequestActions actions);
  // Returns the digest of the key in the caller's credentials.
  std::optional<KeyDigest> KeyOf(const CallerRequest& caller) const;
  // Returns the route of the request, or null if there is none and the request
  // is answered.
  const Route* FindRoute(const RouteTable& table,
                         const CallerRequest& caller,
                         const std::string& path,
                         const std::shared_ptr<HttpExchange>& exchange);
  // Decides whether the caller may use the route, and finds its organisation.
  // Answers the request if it may not.
  bool CheckAccess(const RouteTable& table,
                   const Route& route,
                   CallerRequest& caller,
                   const std::shared_ptr<HttpExchange>& exchange);
  // Returns the exchange to use for the request, or null if the quota of its
  // organisation is used up and the request is answered.
  std::shared_ptr<HttpExchange> CheckQuota(
      const RouteTable& table,
      const CallerRequest& caller,
      const std::shared_ptr<HttpExchange>& exchange);
  // Returns whether a request of the caller counts against a quota.
  bool IsCharged(const RouteTable& table, const CallerRequest& caller) const;
  // Returns whether `table` is as new as that of the sender of a forwarded
  // request, and what is known of the caller is enough to decide about it.
  static bool CanDecide(const RouteTable& table, const ForwardInfo& info);
  // As CheckAccess(), for a forwarded request.
  bool CheckForwardedAccess(const RouteTable& table,
                            const Route& route,
                            const ForwardInfo& info,
                            CallerRequest& caller,
                            const std::shared_ptr<HttpExchange>& exchange);
  // As CheckQuota(), unless the sender has charged the same organisation.
  std::shared_ptr<HttpExchange> CheckForwardedQuota(
      const RouteTable& table,
      const ForwardInfo& info,
      const CallerRequest& caller,
      const std::shared_ptr<HttpExchange>& exchange);
  // Drops the credentials if they are for this system.
  static void UseOrganisation(const RouteTable& table,
                              const std::string& name,
                              CallerRequest& caller);
  HeaderList HeadersForSearchers(const HttpRequest& request,
                                 const CallerRequest& caller,
                                 const RouteTable& table) const;
  // Returns whether a request that arrives now is taken.
  bool Takes(TimePoint now,
             const CallerRequest& caller,
             const Route& route) const;
  void SendAttempt(ActiveRequest& active, const AttemptToSend& send);
  // Decides again whether an attempt may be sent, which has waited for a
  // connection. Sets the time that is left. Returns why it must not be sent.
  std::optional<Failure> CheckBeforeSend(uint64_t number,
                                         const AttemptToSend& send,
                                         TimePoint now,
                                         HeaderList& headers);
  void OnAttemptEnded(uint64_t number,
                      const AttemptToSend& sent,
                      const HttpCallResult& result);
  // Finds out whether the searcher of a lost attempt has ended.
  void CheckForCrash(std::shared_ptr<ActiveRequest> active,
                     const RoutedSearcherPtr& searcher);
  void OnSearcherCrashed(ActiveRequest& active, const CrashReport& report);
  void OnCallerDisconnected(uint64_t number);
  void Answer(ActiveRequest& active, RequestResult result);
  void LogRequestEnd(const ActiveRequest& active,
                     const RequestResult& result,
                     unsigned status,
                     TimePoint now);
  static std::string_view MainCause(const ActiveRequest& active,
                                    const RequestResult& result);
  static void LogAttempts(const ActiveRequest& active);
  void Reject(const std::string& request_id,
              const std::shared_ptr<HttpExchange>& exchange,
              const Failure& failure,
              Duration retry_delay = kOtherInstanceRetryDelay);
  void RejectSuspect(const CallerRequest& caller,
                     const std::shared_ptr<HttpExchange>& exchange,
                     const RequestDigest& digest,
                     const SuspectVerdict& verdict);
  // Counts the request as ended, once.
  void EndRequest(ActiveRequest& active);
  // Ends the caution for a suspected request that has ended, and its suspicion
  // if it was answered.
  void ReleaseSuspect(const ActiveRequest& active);
  HttpResponse ToResponse(const Route& route, RequestResult& result) const;
  void ArmTimer();
  void OnTimer();

  boost::asio::io_context& context_;
  const CallDialect dialect_;
  const Limits limits_;
  RequestPlanContext* const plans_;
  CrashSuspects* const suspects_;
  SearcherReach* const reach_;
  const std::shared_ptr<SearcherClients> clients_;
  RoutedMetrics* const metrics_;
  const Hooks hooks_;
  const std::unique_ptr<Timers> timers_;
  std::unordered_map<uint64_t, std::shared_ptr<ActiveRequest>> active_requests_;
  // Requests that wait for a slot.
  std::unordered_map<uint64_t, std::shared_ptr<WaitingRequest>> waiting_;
  uint64_t last_number_ = 0;
  uint64_t last_attempt_id_ = 0;
  uint64_t complete_answers_ = 0;
  size_t in_flight_ = 0;
  TimePoint last_request_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_REQUEST_ROUTER_H_
