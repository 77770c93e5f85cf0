// Runs each non-idempotent request at most once, by means of claims stored in
// the platform.
#ifndef GREENGAGE_TRANSPORT_CLAIM_SERVICE_H_
#define GREENGAGE_TRANSPORT_CLAIM_SERVICE_H_

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "greengage/coordination/claim_machine.h"
#include "greengage/state/configuration.h"
#include "greengage/state/event_log.h"
#include "greengage/state/metrics.h"
#include "greengage/state/query.h"

namespace greengage {

// Calls of the service to the platform and to the query path. All hooks must be
// thread-safe and run their callback exactly once.
struct ClaimHooks {
  std::function<void(const std::string& name,
                     uint64_t expected,
                     const ClaimRecord& record,
                     std::function<void(ClaimWriteResult)>)>
      write;
  std::function<void(const std::string& name,
                     std::function<void(ClaimReadResult)>)>
      read;
  std::function<void(Query, ConfigurationPtr, std::function<void(Answer)>)>
      send;
};

// Thread-safe. Each request has its own lock.
class ClaimService {
 public:
  using Callback = std::function<void(Answer)>;

  // Maximum number of requests that hold or wait for a claim. Further requests
  // are rejected at once, which bounds the load on the platform.
  static constexpr size_t kMaxInFlight = 256;

  // `instance` is the holder written to claims. The pointers must outlive the
  // service and its requests.
  ClaimService(boost::asio::io_context& context,
               std::string instance,
               ClaimHooks hooks,
               EventLog* events,
               Metrics* metrics);

  // Runs `query`, which must be non-idempotent. `done` runs exactly once, no
  // later than the query's deadline.
  void Run(Query query, ConfigurationPtr configuration, Callback done);

  // Number of requests whose claim is not settled yet. Some of them may have
  // been answered.
  size_t in_flight() const { return in_flight_; }

 private:
  class ActiveClaim;

  std::string MakeToken();

  boost::asio::io_context& context_;
  const std::string instance_;
  const ClaimHooks hooks_;
  EventLog* const events_;
  Metrics* const metrics_;
  const uint64_t token_base_;
  std::atomic<uint64_t> next_token_{1};
  std::atomic<size_t> in_flight_{0};
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_CLAIM_SERVICE_H_
