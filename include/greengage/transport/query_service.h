// The entry role: runs queries from admission to answer.
#ifndef GREENGAGE_TRANSPORT_QUERY_SERVICE_H_
#define GREENGAGE_TRANSPORT_QUERY_SERVICE_H_

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>

#include "greengage/coordination/admission.h"
#include "greengage/coordination/query_plan.h"
#include "greengage/state/event_log.h"
#include "greengage/transport/sub_request_router.h"

namespace greengage {

// One query under way; keep it to be able to abandon it.
class RunningQuery {
 public:
  virtual ~RunningQuery() = default;

  // The caller has gone: gives up all sub-requests. A non-idempotent query
  // goes on, so that its outcome gets recorded.
  virtual void Abandon() = 0;
};

// Thread-safe. Each query's state is under a lock of its own.
class QueryService {
 public:
  using Callback = std::function<void(Answer)>;

  // Runs for each sub-request that is to be sent.
  using SendHook = std::function<void(const SubRequest&, SendReason)>;

  // All pointers must outlive the service and its queries.
  QueryService(boost::asio::io_context& context,
               QueryContext* plans,
               Admission* admission,
               std::shared_ptr<SubRequestRouter> router,
               EventLog* events,
               SendHook on_send);

  // Runs `query`, pinned to `configuration`. `done` runs exactly once; a
  // refusal at once, an answer at the latest at the query's deadline.
  std::shared_ptr<RunningQuery> Run(Query query,
                                    ConfigurationPtr configuration,
                                    Callback done);

  size_t in_flight() const { return in_flight_; }

 private:
  class ActiveQuery;

  boost::asio::io_context& context_;
  QueryContext* const plans_;
  Admission* const admission_;
  const std::shared_ptr<SubRequestRouter> router_;
  EventLog* const events_;
  const SendHook on_send_;
  std::atomic<size_t> in_flight_{0};
  std::atomic<uint64_t> next_seed_{1};
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_QUERY_SERVICE_H_
