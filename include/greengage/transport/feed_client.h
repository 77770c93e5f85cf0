// Reads the objects of the store from a peer.
#ifndef GREENGAGE_TRANSPORT_FEED_CLIENT_H_
#define GREENGAGE_TRANSPORT_FEED_CLIENT_H_

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include "greengage/coordination/feed_cache.h"
#include "greengage/state/instance_record.h"
#include "greengage/state/result.h"
#include "greengage/transport/http_client.h"

namespace greengage {

// Remembers which changes it has fetched, so that the next page brings only
// later ones. Not thread-safe: runs on one thread.
class FeedClient : public std::enable_shared_from_this<FeedClient> {
 public:
  using PageCallback = std::function<void(Result<FeedPage>)>;

  explicit FeedClient(boost::asio::io_context& context) : context_(context) {}

  // Fetches the changes since the last page from `peer`, or all objects if that
  // page came from another peer. Waits up to `wait` for a change, and up to
  // `timeout` longer for the answer. `done` runs once. Fails with kUnavailable
  // without an answer, with kMalformedMessage, and with kStaleVersion if the
  // peer has no state, or one older than that which was fetched before.
  void Fetch(const InstanceRecord& peer,
             std::chrono::milliseconds wait,
             std::chrono::milliseconds timeout,
             PageCallback done);

  // Makes the next page complete and accepts it only if its searchers are as of
  // `searchers_revision` or later, because the state was read elsewhere.
  void Reset(StoreRevision searchers_revision);

 private:
  Result<FeedPage> Accept(const HttpCallResult& result);

  boost::asio::io_context& context_;
  Endpoint server_;
  std::shared_ptr<HttpClient> http_;
  uint64_t epoch_ = 0;
  uint64_t sequence_ = 0;
  StoreRevision searchers_revision_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_FEED_CLIENT_H_
