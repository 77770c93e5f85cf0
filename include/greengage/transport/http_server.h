// An HTTP/1.1 server over Asio and Beast with bounded memory and time.
#ifndef GREENGAGE_TRANSPORT_HTTP_SERVER_H_
#define GREENGAGE_TRANSPORT_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "greengage/state/endpoint.h"
#include "greengage/state/result.h"
#include "greengage/transport/http_message.h"

namespace greengage {

// Bounds on what one server accepts. Sizes are in bytes.
struct HttpServerLimits {
  size_t body_bytes = size_t{64} * 1024;
  size_t header_bytes = size_t{8} * 1024;
  size_t connections = 4096;
  std::chrono::milliseconds read_timeout{5000};   // From first byte to whole.
  std::chrono::milliseconds idle_timeout{60000};  // Between two requests.
  std::chrono::milliseconds write_timeout{5000};
};

// One request that waits for its answer. Thread-safe.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  // Sends the answer. Only the first call has an effect.
  virtual void Reply(HttpResponse response) = 0;

  // The connection's number, counted up from 1 as they are accepted.
  virtual uint64_t connection() const = 0;

  // Closes the connection without an answer; for stand-ins that lose answers.
  virtual void Abort() = 0;

  // Runs `hook` once if the client goes away before the answer. Must be set
  // before the handler returns.
  virtual void OnClientDisconnected(std::function<void()> hook) = 0;
};

using HttpHandler =
    std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;

// Listens on one end point. Handlers run on the io_context's threads.
class HttpServer {
 public:
  virtual ~HttpServer() = default;

  // Fails with kAddressInUse or kInvalidArgument.
  static Result<std::shared_ptr<HttpServer>> Listen(
      boost::asio::io_context& context,
      const Endpoint& endpoint,
      HttpServerLimits limits,
      HttpHandler handler);

  // Where it listens; the port is the real one if 0 was asked for.
  virtual Endpoint endpoint() const = 0;

  virtual size_t connections() const = 0;

  // Puts other limits in force; requests that are being read keep theirs.
  virtual void SetLimits(const HttpServerLimits& limits) = 0;

  // From here on every answer closes its connection, so that clients move to
  // other servers while this one still takes requests.
  virtual void DisableKeepAlive() = 0;

  // Closes the listener and idle connections; a request under way still gets
  // its answer, with "Connection: close".
  virtual void StopAccepting() = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_HTTP_SERVER_H_
