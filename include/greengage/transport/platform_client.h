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

// Makes no call twice: what a failed call means is decided by the caller.
// Thread-safe; callbacks run on the io_context's threads, each exactly once,
// at the latest at the call's deadline.
//
// Reads fail with kNotFound, with kUnavailable if the platform cannot be
// reached or does not answer, with kCancelled, or with kMalformedMessage.
class PlatformClient {
 public:
  using ReadCallback = std::function<void(Result<PlatformObject>)>;
  using WriteCallback = std::function<void(PlatformWrite)>;
  using ListCallback =
      std::function<void(Result<std::vector<PlatformListing>>)>;
  using InstancesCallback = std::function<void(Result<std::vector<Instance>>)>;
  using CallId = HttpClient::CallId;

  // Answers may be larger than values, since JSON escapes characters.
  static std::shared_ptr<PlatformClient> Create(
      boost::asio::io_context& context,
      const Endpoint& platform);

  explicit PlatformClient(std::shared_ptr<HttpClient> http);

  CallId Read(const ObjectKey& key, TimePoint deadline, ReadCallback done);

  // Waits at most `wait` for a version above `after`; fails with kStaleVersion
  // if there was none. `deadline` should leave the platform some time more.
  CallId Watch(const ObjectKey& key,
               uint64_t after,
               std::chrono::milliseconds wait,
               TimePoint deadline,
               ReadCallback done);

  // Writes if the object's version is `expected`; 0: if there is no object.
  CallId Put(const ObjectKey& key,
             uint64_t expected,
             std::string value,
             TimePoint deadline,
             WriteCallback done);

  CallId Delete(const ObjectKey& key,
                uint64_t expected,
                TimePoint deadline,
                WriteCallback done);

  // At most `limit` objects of `kind` with names above `after`, in order.
  CallId List(const std::string& kind,
              size_t limit,
              const std::string& after,
              TimePoint deadline,
              ListCallback done);

  // The platform's lagging list of instances.
  CallId Instances(TimePoint deadline, InstancesCallback done);

  // Ends a call early: reads fail with kCancelled, writes become kAmbiguous or
  // kUnavailable. No effect if ended.
  void Cancel(CallId id);

  void Close();

 private:
  CallId StartRead(const ObjectKey& key,
                   const std::string& parameters,
                   TimePoint deadline,
                   ReadCallback done);

  const std::shared_ptr<HttpClient> http_;
};

// What the result of a PUT or DELETE proves.
PlatformWrite ToPlatformWrite(const HttpCallResult& result,
                              const std::string& subject);

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_PLATFORM_CLIENT_H_
