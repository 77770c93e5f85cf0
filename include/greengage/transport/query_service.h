// The entry role: runs each query from admission to its answer.
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

// Handle of a query in flight, for abandoning it.
class RunningQuery {
 public:
  virtual ~RunningQuery() = default;

  // Cancels all sub-requests after the caller has disconnected. A
  // non-idempotent query continues, so that its outcome is recorded.
  virtual void Abandon() = 0;
};

// Thread-safe. Each query has its own lock.
class QueryService {
 public:
  using Callback = std::function<void(Answer)>;

  // Runs before a sub-request is sent.
  using SendHook = std::function<void(const SubRequest&, SendReason)>;

  // Does not take ownership of the raw pointers. They must outlive the service
  // and its queries.
  QueryService(boost::asio::io_context& context,
               QueryContext* plans,
               Admission* admission,
               std::shared_ptr<SubRequestRouter> router,
               EventLog* events,
               SendHook on_send);

  // Runs `query`, pinned to `configuration`. `done` runs exactly once: at once
  // if the query is rejected, else no later than the query's deadline. Returns
  // null if the query is rejected.
  std::shared_ptr<RunningQuery> Run(Query query,
                                    ConfigurationPtr configuration,
                                    Callback done);

  // Number of admitted queries that have not finished.
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
