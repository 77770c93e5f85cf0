// A typed client of the platform's object API.
#ifndef GREENGAGE_TRANSPORT_PLATFORM_CLIENT_H_
#define GREENGAGE_TRANSPORT_PLATFORM_CLIENT_H_

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "greengage/state/instance.h"
#include "greengage/state/platform_object.h"
#include "greengage/state/result.h"
#include "greengage/transport/http_client.h"

namespace greengage {

// Does not retry calls; handling a failed call is up to the user of this class.
// Thread-safe. Callbacks run on the threads of the io_context, each exactly
// once and no later than the deadline of the call.
//
// Reads fail with kNotFound, kCancelled, kMalformedMessage, or kUnavailable if
// the platform is unreachable or does not answer.
class PlatformClient {
 public:
  using ReadCallback = std::function<void(Result<PlatformObject>)>;
  using WriteCallback = std::function<void(PlatformWrite)>;
  using ListCallback =
      std::function<void(Result<std::vector<PlatformListing>>)>;
  using InstancesCallback = std::function<void(Result<std::vector<Instance>>)>;
  using CallId = HttpClient::CallId;

  // Creates a client that accepts answers larger than the largest value, since
  // JSON escapes characters.
  static std::shared_ptr<PlatformClient> Create(
      boost::asio::io_context& context,
      const Endpoint& platform);

  explicit PlatformClient(std::shared_ptr<HttpClient> http);

  CallId Read(const ObjectKey& key, TimePoint deadline, ReadCallback done);

  // Waits at most `wait` for a version above `after`, and fails with
  // kStaleVersion if there is none. `deadline` should be later than the end of
  // `wait`, so that the platform has time to answer.
  CallId Watch(const ObjectKey& key,
               uint64_t after,
               std::chrono::milliseconds wait,
               TimePoint deadline,
               ReadCallback done);

  // Writes the object if its version is `expected_version`; 0 means
  // that the object must not exist.
  CallId Put(const ObjectKey& key,
             uint64_t expected_version,
             std::string value,
             TimePoint deadline,
             WriteCallback done);

  CallId Delete(const ObjectKey& key,
                uint64_t expected_version,
                TimePoint deadline,
                WriteCallback done);

  // Lists at most `limit` objects of `kind` with names above `after`, ordered
  // by name.
  CallId List(const std::string& kind,
              size_t limit,
              const std::string& after,
              TimePoint deadline,
              ListCallback done);

  // Lists the instances. The list of the platform lags behind the actual state.
  CallId Instances(TimePoint deadline, InstancesCallback done);

  // Cancels a call. A read fails with kCancelled; the outcome of a write is
  // kAmbiguous or kUnavailable. No effect if the call has ended.
  void Cancel(CallId id);

  // Closes idle connections; calls in flight still complete.
  void Close();

 private:
  CallId StartRead(const ObjectKey& key,
                   const std::string& parameters,
                   TimePoint deadline,
                   ReadCallback done);

  const std::shared_ptr<HttpClient> http_;
};

// Derives the outcome of a PUT or DELETE from its HTTP result.
PlatformWrite ToPlatformWrite(const HttpCallResult& result,
                              const std::string& subject);

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_PLATFORM_CLIENT_H_
