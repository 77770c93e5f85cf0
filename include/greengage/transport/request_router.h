// Answers callers' opaque requests by the decisions of a RequestPlan.
#ifndef GREENGAGE_TRANSPORT_REQUEST_ROUTER_H_
#define GREENGAGE_TRANSPORT_REQUEST_ROUTER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "greengage/coordination/request_plan.h"
#include "greengage/protocol/call_dialect.h"
#include "greengage/protocol/routed_call_codec.h"
#include "greengage/state/route_table.h"
#include "greengage/state/routed_metrics.h"
#include "greengage/transport/http_server.h"
#include "greengage/transport/searcher_clients.h"

namespace greengage {

// All members run on one thread, that of the io_context.
class RequestRouter : public std::enable_shared_from_this<RequestRouter> {
 public:
  struct Hooks {
    // The routes in force; null before there are any.
    std::function<RouteTablePtr()> active_routes;
    // Whether new requests are refused, as at the end of a stop.
    std::function<bool()> rejecting;
    // How old the knowledge of the searchers is, for logs.
    std::function<Duration()> registry_age;
  };

  struct Limits {
    size_t in_flight = 1024;  // Requests at once; more are refused.
  };

  RequestRouter(boost::asio::io_context& context,
                CallDialect dialect,
                Limits limits,
                RequestPlanContext* plans,
                std::shared_ptr<SearcherClients> clients,
                RoutedMetrics* metrics,
                Hooks hooks);
  ~RequestRouter();

  void Handle(HttpRequest request,
              const std::shared_ptr<HttpExchange>& exchange);

  // Requests without an answer yet.
  size_t in_flight() const { return in_flight_; }

  // When the last request arrived.
  TimePoint last_request() const { return last_request_; }

 private:
  struct AttemptNote;
  struct Running;
  class Timers;

  void Begin(HttpRequest request,
             CallerRequest caller,
             const std::shared_ptr<HttpExchange>& exchange,
             RouteTablePtr table,
             const Route* route);
  void Perform(uint64_t number, RequestActions actions);
  void SendAttempt(Running& running, const AttemptToSend& send);
  void OnAttemptEnded(uint64_t number,
                      uint64_t attempt,
                      AttemptReason reason,
                      const HttpCallResult& result);
  void OnCallerLeft(uint64_t number);
  void Answer(Running& running, RequestResult result);
  void LogEnd(const Running& running,
              const RequestResult& result,
              unsigned status,
              TimePoint now);
  static std::string_view TroubleOf(const Running& running,
                                    const RequestResult& result);
  static void LogAttempts(const Running& running);
  void Refuse(const std::string& request_id,
              const std::shared_ptr<HttpExchange>& exchange,
              const Failure& failure);
  HttpResponse ToResponse(const Route& route, RequestResult& result) const;
  void ArmTimer();
  void OnTimer();

  const CallDialect dialect_;
  const Limits limits_;
  RequestPlanContext* const plans_;
  const std::shared_ptr<SearcherClients> clients_;
  RoutedMetrics* const metrics_;
  const Hooks hooks_;
  const std::unique_ptr<Timers> timers_;
  std::unordered_map<uint64_t, std::shared_ptr<Running>> running_;
  uint64_t last_number_ = 0;
  uint64_t last_attempt_ = 0;
  uint64_t whole_answers_ = 0;
  size_t in_flight_ = 0;
  TimePoint last_request_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_REQUEST_ROUTER_H_
