// An HTTP/1.1 client that keeps a bounded pool of connections to one server.
#ifndef GREENGAGE_TRANSPORT_HTTP_CLIENT_H_
#define GREENGAGE_TRANSPORT_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "greengage/coordination/receive_budget.h"
#include "greengage/state/endpoint.h"
#include "greengage/state/result.h"
#include "greengage/state/time.h"
#include "greengage/transport/http_message.h"

namespace greengage {

struct HttpClientLimits {
  size_t connections = 25;  // Maximum number of open connections.
  // If set, returns the current maximum and takes precedence over
  // `connections`. See TrimConnections().
  std::function<size_t()> dynamic_connection_limit = {};
  size_t connecting = 4;  // Maximum number of connections being opened.
  // Maximum response headers, and maximum line or trailer of a chunked body.
  uint32_t header_bytes = 8 * 1024;
  size_t body_bytes = size_t{1024} * 1024;  // Maximum response body.
  // Bounds the unfinished responses of all clients that share it. Optional.
  std::shared_ptr<ReceiveBudget> receive_budget = {};
  std::chrono::milliseconds connect_timeout{1000};
  // A shorter timeout announced by the server takes precedence.
  std::chrono::milliseconds idle_timeout{30000};
  // Target of an inexpensive GET request. If set, it is used to probe
  // connections, and unresponsive connections are replaced. If empty, there are
  // no probes and no replacements.
  std::string probe_target = {};
  // Runs for each connection that is replaced because it is unresponsive.
  std::function<void()> on_replaced = {};
};

// Result of checking that a response belongs to the current call.
enum class HttpResponseMatch : uint8_t {
  kMatch,     // The response belongs to the call.
  kMismatch,  // It belongs to an earlier call; the right one may follow.
  // It does not say to which call it belongs. It is accepted only as the first
  // response on a connection, which is then not used again.
  kUnidentified,
};

struct HttpCall {
  std::string method = "GET";
  std::string target;
  std::string body;
  TimePoint deadline;
  // Sent unchanged. Without a Host header, the endpoint of the server is sent
  // as Host; without a Content-Type header, a body is sent as JSON.
  HeaderList headers = {};
  // Checks that a response belongs to this call. If empty, every response does.
  std::function<HttpResponseMatch(const HttpResponse&)> check = {};
  // Runs right before the call is sent, for what may have changed while it
  // waited for a connection. May replace headers. If it returns a reason, the
  // call fails with it and is not sent.
  std::function<std::optional<Failure>(TimePoint now, HeaderList& headers)>
      before_send = {};
  // If set, the call is sent on a connection that no call was sent on before.
  // Required if `check` cannot tell the response from those to earlier calls,
  // which may arrive late. The call fails without being sent if no connection
  // can be opened.
  bool needs_unused_connection = false;
};

// Result of a call. `sent` is false only if no byte of the request was written
// to a connection, which proves that the server did not execute it.
struct HttpCallResult {
  Result<HttpResponse> response;
  bool sent = false;
};

// Whether a server accepts connections.
enum class ServerState : uint8_t {
  kListening,
  kRefusing,  // No process listens at the address.
  kUnknown,   // No answer in time.
};

// Runs on the threads of the io_context. All members are thread-safe. A
// connection whose call ends without a response is closed and not reused.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  using Callback = std::function<void(HttpCallResult)>;
  using CallId = uint64_t;

  virtual ~HttpClient() = default;

  static std::shared_ptr<HttpClient> Create(boost::asio::io_context& context,
                                            const Endpoint& server,
                                            const HttpClientLimits& limits);

  // Starts a call. `done` runs exactly once, no later than the deadline.
  virtual CallId Start(HttpCall call, Callback done) = 0;

  // Cancels a call, whose callback receives kCancelled. Has no effect if the
  // call has ended.
  virtual void Cancel(CallId id) = 0;

  // Finds out whether the server accepts connections. Opens one only if none is
  // open; calls use it afterwards. `done` runs once, unless the client is
  // destroyed before.
  virtual void CheckServer(std::function<void(ServerState)> done) = 0;

  // Closes idle connections beyond the dynamic limit. Should be called once it
  // has become lower. Busy connections beyond it are closed when their calls
  // have ended.
  virtual void TrimConnections() = 0;

  // Closes idle connections. Calls that were sent may finish. Calls that wait
  // and new calls fail with kUnavailable, without being sent.
  virtual void Close() = 0;

  virtual const Endpoint& server() const = 0;
  virtual size_t open_connections() const = 0;
};

// Makes one call on a new connection and blocks until it ends, for command-line
// tools and tests. `timeout` bounds the whole call.
Result<HttpResponse> CallAndWait(const Endpoint& server,
                                 HttpCall call,
                                 std::chrono::milliseconds timeout);

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_HTTP_CLIENT_H_
