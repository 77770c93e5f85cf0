// Serves the HTTP API for callers and operators.
#ifndef GREENGAGE_TRANSPORT_HTTP_API_SERVICE_H_
#define GREENGAGE_TRANSPORT_HTTP_API_SERVICE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "greengage/state/configuration.h"
#include "greengage/state/event_log.h"
#include "greengage/state/metrics.h"
#include "greengage/state/query.h"
#include "greengage/transport/http_server.h"
#include "greengage/transport/query_service.h"

namespace greengage {

// Calls of the service to the rest of the instance. All hooks must be set and
// thread-safe.
struct HttpApiHooks {
  // Returns the active configuration, or null if there is none yet.
  std::function<ConfigurationPtr()> configuration;
  // Returns true if this instance accepts requests from callers. Must return
  // false from the start of a shutdown.
  std::function<bool()> ready;
  // Returns true if the shutdown has reached the stage in which new requests
  // are rejected.
  std::function<bool()> rejecting;
  // Returns the status of the instance as JSON.
  std::function<std::string()> status;
  // Starts a query. Returns null if it was rejected or cannot be abandoned.
  std::function<std::shared_ptr<RunningQuery>(Query,
                                              ConfigurationPtr,
                                              QueryService::Callback)>
      run;
};

struct HttpApiLimits {
  size_t in_flight = 4096;  // Queries beyond this number are rejected.
};

// Request handler of the HttpServer for callers. Thread-safe.
class HttpApiService : public std::enable_shared_from_this<HttpApiService> {
 public:
  HttpApiService(std::string instance,
                 HttpApiHooks hooks,
                 HttpApiLimits limits,
                 EventLog* events,
                 Metrics* metrics,
                 std::vector<Gauge> gauges);

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpExchange>& exchange);

  // Answers all queries in flight: whether they ran is unknown.
  void EndAll();

  // Number of queries that have not been answered yet.
  size_t in_flight() const { return in_flight_; }

  // Arrival time of the latest query.
  TimePoint last_request() const { return last_request_; }

 private:
  struct ActiveQuery {
    Answer unfinished;  // The answer if the instance ends first.
    ConfigurationPtr configuration;
    TimePoint received;
    std::shared_ptr<HttpExchange> exchange;
  };

  void HandleQuery(const HttpRequest& request,
                   const std::shared_ptr<HttpExchange>& exchange);
  HttpResponse HandleReadiness() const;
  HttpResponse HandleEvents(const HttpRequest& request) const;
  HttpResponse RejectInvalid(const Failure& failure);
  HttpResponse RejectUnread(Refusal refusal) const;
  uint64_t Add(ActiveQuery active);
  void OnAnswer(uint64_t number, const Answer& answer);
  void Reply(const ActiveQuery& active, const Answer& answer);
  std::string MakeRequestId();

  const std::string instance_;
  const HttpApiHooks hooks_;
  const HttpApiLimits limits_;
  EventLog* const events_;
  Metrics* const metrics_;
  const std::vector<Gauge> gauges_;
  std::atomic<size_t> in_flight_{0};
  std::atomic<TimePoint> last_request_{TimePoint{}};
  std::atomic<uint64_t> next_request_{1};
  std::mutex mutex_;
  std::map<uint64_t, ActiveQuery> active_queries_;
  uint64_t last_query_ = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_HTTP_API_SERVICE_H_
