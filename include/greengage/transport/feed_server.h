// Serves the objects that an instance has read from the store to its peers.
#ifndef GREENGAGE_TRANSPORT_FEED_SERVER_H_
#define GREENGAGE_TRANSPORT_FEED_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "greengage/coordination/feed_cache.h"
#include "greengage/state/time.h"
#include "greengage/transport/http_server.h"

namespace greengage {

// Path of the requests of feed clients.
inline constexpr char kFeedPath[] = "/feed";

struct FeedServerHooks {
  // Returns whether this instance reads the store and its state is young enough
  // to be passed on. Otherwise clients get status 503.
  std::function<bool()> may_serve;
  // Returns the present time of the clock of the cache.
  std::function<TimePoint()> now;
};

// A request names the epoch and the sequence number that the client has. The
// answer is held back until there is a change or the client's wait is over.
// Changes that come together are sent together. Not thread-safe: runs on one
// thread.
class FeedServer : public std::enable_shared_from_this<FeedServer> {
 public:
  // `cache` must outlive the server.
  FeedServer(boost::asio::io_context& context,
             const FeedCache* cache,
             FeedServerHooks hooks);

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpExchange>& exchange);

  // Answers the clients that lack a change, or whose wait is over. Must be
  // called after changes of the cache.
  void OnCacheChanged();

 private:
  struct Waiting {
    std::shared_ptr<HttpExchange> exchange;
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    TimePoint until;
  };

  void Reply(const Waiting& waiting);
  void AnswerDue();
  void ArmTimer();

  const FeedCache* const cache_;
  const FeedServerHooks hooks_;
  std::vector<Waiting> waiting_;
  boost::asio::steady_timer timer_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_FEED_SERVER_H_
