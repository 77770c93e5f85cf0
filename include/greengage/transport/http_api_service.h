// Serves callers and operators over HTTP.
#ifndef GREENGAGE_TRANSPORT_HTTP_API_SERVICE_H_
#define GREENGAGE_TRANSPORT_HTTP_API_SERVICE_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "greengage/state/configuration.h"
#include "greengage/state/event_log.h"
#include "greengage/state/metrics.h"
#include "greengage/state/query.h"
#include "greengage/transport/http_server.h"
#include "greengage/transport/query_service.h"

namespace greengage {

// What the front asks of the rest of the instance. All are thread-safe.
struct HttpApiHooks {
  // The configuration in force, or null before there is one.
  std::function<ConfigurationPtr()> configuration;
  // Whether callers should be sent here; false as soon as a stop begins.
  std::function<bool()> ready;
  // Whether the stop has gone so far that new work is refused.
  std::function<bool()> rejecting;
  std::function<std::string()> status;
  std::function<std::shared_ptr<RunningQuery>(Query,
                                              ConfigurationPtr,
                                              QueryService::Callback)>
      run;
};

struct HttpApiLimits {
  size_t in_flight = 4096;  // Requests of callers being worked on.
};

// The handler of the callers' HttpServer. Thread-safe.
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

  // Requests of callers without an answer yet.
  size_t in_flight() const { return in_flight_; }

  // When the last request of a caller arrived.
  TimePoint last_request() const { return last_request_; }

 private:
  void HandleQuery(const HttpRequest& request,
                   const std::shared_ptr<HttpExchange>& exchange);
  HttpResponse HandleReadiness() const;
  HttpResponse HandleEvents(const HttpRequest& request) const;
  HttpResponse Reject(const Failure& failure);
  HttpResponse Refuse(Refusal refusal) const;
  void OnAnswer(const Answer& answer,
                const ConfigurationPtr& configuration,
                TimePoint received,
                const std::shared_ptr<HttpExchange>& exchange);
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
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_HTTP_API_SERVICE_H_
