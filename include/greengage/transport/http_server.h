// An HTTP/1.1 server on Asio and Beast with limits on memory and time.
#ifndef GREENGAGE_TRANSPORT_HTTP_SERVER_H_
#define GREENGAGE_TRANSPORT_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "greengage/coordination/receive_budget.h"
#include "greengage/state/endpoint.h"
#include "greengage/state/result.h"
#include "greengage/transport/http_message.h"

namespace greengage {

// Limits of one server.
struct HttpServerLimits {
  size_t body_bytes = size_t{64} * 1024;
  size_t header_bytes = size_t{8} * 1024;
  size_t connections = 4096;
  std::chrono::milliseconds read_timeout{5000};   // From first byte to end.
  std::chrono::milliseconds idle_timeout{60000};  // Between two requests.
  std::chrono::milliseconds write_timeout{5000};
  // Bounds the unfinished requests of all servers, and the unfinished responses
  // of all clients, that share it. Optional.
  std::shared_ptr<ReceiveBudget> receive_budget = {};
};

// One request and its response. Thread-safe.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  // Sends the response. Only the first call has an effect.
  virtual void Reply(HttpResponse response) = 0;

  // Returns the sequence number of the connection, starting at 1 in the order
  // of acceptance.
  virtual uint64_t connection() const = 0;

  // Closes the connection without a response, for test servers that simulate
  // lost responses.
  virtual void Abort() = 0;

  // Sets a hook that runs once if the client disconnects before the response.
  // Must be called before the handler returns.
  virtual void OnClientDisconnected(std::function<void()> hook) = 0;
};

using HttpHandler =
    std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;

// Listens on one endpoint. Handlers run on the threads of the io_context.
class HttpServer {
 public:
  virtual ~HttpServer() = default;

  // Fails with kAddressInUse or kInvalidArgument.
  static Result<std::shared_ptr<HttpServer>> Listen(
      boost::asio::io_context& context,
      const Endpoint& endpoint,
      HttpServerLimits limits,
      HttpHandler handler);

  // Returns the listening endpoint, with the port that was bound.
  virtual Endpoint endpoint() const = 0;

  virtual size_t connections() const = 0;

  // Returns the number of requests that were read and whose response has not
  // been written whole. Those whose connection has ended don't count.
  virtual size_t unanswered() const = 0;

  // Replaces the limits. A request that is being read keeps the previous ones.
  virtual void SetLimits(const HttpServerLimits& limits) = 0;

  // Closes each connection after its next response, so that clients move to
  // other servers while this server still accepts requests.
  virtual void DisableKeepAlive() = 0;

  // Closes the listener and idle connections. A request in flight is still
  // answered, with "Connection: close".
  virtual void StopAccepting() = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_HTTP_SERVER_H_
