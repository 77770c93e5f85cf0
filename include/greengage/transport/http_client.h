// An HTTP/1.1 client that keeps a bounded pool of connections to one server.
#ifndef GREENGAGE_TRANSPORT_HTTP_CLIENT_H_
#define GREENGAGE_TRANSPORT_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "greengage/state/endpoint.h"
#include "greengage/state/result.h"
#include "greengage/state/time.h"
#include "greengage/transport/http_message.h"

namespace greengage {

struct HttpClientLimits {
  size_t connections = 25;  // Open at once.
  // If set, goes before `connections`, and may change.
  std::function<size_t()> dynamic_connection_limit = {};
  size_t connecting = 4;                    // Being opened at once.
  size_t body_bytes = size_t{1024} * 1024;  // Largest answer.
  std::chrono::milliseconds connect_timeout{1000};
  // A shorter timeout that the server announces goes first.
  std::chrono::milliseconds idle_timeout{30000};
  // Path of a cheap GET. With one, idle connections are probed, and those that
  // have gone silent are replaced. Empty: neither.
  std::string probe_target = {};
  // Runs for each connection that is replaced because it has gone silent.
  std::function<void()> on_replaced = {};
};

// What to do with an answer that stands where that of a call is expected.
enum class HttpResponseMatch : uint8_t {
  kMatch,     // It is the call's.
  kMismatch,  // It belongs to an earlier call: the call's own may follow.
};

struct HttpCall {
  std::string method = "GET";
  std::string target;
  std::string body;
  TimePoint deadline;
  // Sent as they are; without a Host among them, the server's end point is
  // sent. The content type of a body is JSON unless they name one.
  HeaderList headers = {};
  // Whether an answer belongs to this call. Empty: all do.
  std::function<HttpResponseMatch(const HttpResponse&)> check = {};
};

// What became of a call. `sent` is false only if no byte of the request was
// written to any connection, which proves that it was not run.
struct HttpCallResult {
  Result<HttpResponse> response;
  bool sent = false;
};

// Runs on the io_context's threads; all members are thread-safe. A connection
// that has an unanswered request is closed, never used again.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  using Callback = std::function<void(HttpCallResult)>;
  using CallId = uint64_t;

  virtual ~HttpClient() = default;

  static std::shared_ptr<HttpClient> Create(boost::asio::io_context& context,
                                            const Endpoint& server,
                                            const HttpClientLimits& limits);

  // Starts a call. `done` runs exactly once, at the latest at the deadline.
  virtual CallId Start(HttpCall call, Callback done) = 0;

  // Ends a call early; its callback gets kCancelled. No effect if ended.
  virtual void Cancel(CallId id) = 0;

  // Closes idle connections and lets calls under way finish.
  virtual void Close() = 0;

  virtual const Endpoint& server() const = 0;
  virtual size_t open_connections() const = 0;
};

// Makes one call on a connection of its own and waits for it; for command-line
// tools and tests. `timeout` bounds the whole call.
Result<HttpResponse> CallAndWait(const Endpoint& server,
                                 HttpCall call,
                                 std::chrono::milliseconds timeout);

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_HTTP_CLIENT_H_
