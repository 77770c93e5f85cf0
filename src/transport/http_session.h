// One connection of an HTTP server.
#ifndef GREENGAGE_SRC_TRANSPORT_HTTP_SESSION_H_
#define GREENGAGE_SRC_TRANSPORT_HTTP_SESSION_H_

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "greengage/transport/http_server.h"

namespace greengage {

class HttpSession;

// What a connection needs of its server. Thread-safe.
class HttpSessionHost {
 public:
  virtual ~HttpSessionHost() = default;

  // As they are now.
  virtual HttpServerLimits limits() const = 0;
  virtual const HttpHandler& handler() const = 0;

  // Whether every answer closes its connection.
  virtual bool keep_alive_disabled() const = 0;

  // `session` ends.
  virtual void Remove(HttpSession* session) = 0;
};

// One connection: reads a request, waits for its answer, and so on. All
// members run on the socket's strand.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(boost::asio::ip::tcp::socket socket,
              std::shared_ptr<HttpSessionHost> host,
              uint64_t number);
  ~HttpSession();

  uint64_t number() const { return number_; }

  void Start();
  void Reply(uint64_t exchange, HttpResponse response);
  void Abort();
  void CloseWhenIdle();
  void SetAbandonedHook(std::function<void()> hook) {
    abandoned_hook_ = std::move(hook);
  }

 private:
  // What waits on the socket: nothing yet, the next request, or its end.
  enum class Input : uint8_t { kNone, kBytes, kEnded };

  void WaitForRequest();
  void ReadRequest();
  void OnRequest(boost::system::error_code error);
  void RejectRequest(boost::system::error_code error);
  Input LookAtInput();
  void WatchForAbandon();
  void Write(HttpResponse response, bool keep_alive);
  void SetTimeout(std::chrono::milliseconds timeout);
  bool HasInput() const;
  void CloseUnusedConnection();
  void Linger();
  void DiscardInput();
  void Close();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<HttpSessionHost> host_;
  const uint64_t number_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  boost::beast::http::response<boost::beast::http::string_body> response_;
  std::function<void()> abandoned_hook_;
  uint64_t exchange_ = 0;
  bool handling_ = false;
  bool keep_alive_ = true;
  bool close_when_idle_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_SRC_TRANSPORT_HTTP_SESSION_H_
