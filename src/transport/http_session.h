// A connection of an HTTP server.
#ifndef GREENGAGE_SRC_TRANSPORT_HTTP_SESSION_H_
#define GREENGAGE_SRC_TRANSPORT_HTTP_SESSION_H_

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "greengage/transport/http_server.h"
#include "transport/timeout.h"

namespace greengage {

class HttpSession;

// The server, as seen by its sessions. Thread-safe.
class HttpSessionHost {
 public:
  virtual ~HttpSessionHost() = default;

  // Returns the current limits.
  virtual HttpServerLimits limits() const = 0;
  virtual const HttpHandler& handler() const = 0;

  // Returns true if the connection must be closed after each response.
  virtual bool keep_alive_disabled() const = 0;

  // Called when a request has been read, and when its response has been written
  // or its connection has been closed.
  virtual void OnExchangeStarted() = 0;
  virtual void OnExchangeEnded() = 0;

  // Called by the destructor of `session`.
  virtual void Remove(HttpSession* session) = 0;
};

// Reads a request, waits for its response and writes it, repeatedly. All
// functions must run on the strand of the socket, except Start() and
// CloseWhenIdle(), which post to it.
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
  void SetDisconnectHook(std::function<void()> hook) {
    disconnect_hook_ = std::move(hook);
  }

 private:
  // Unread input of the socket: none, bytes of the next request, or the end of
  // the stream.
  enum class Input : uint8_t { kNone, kBytes, kEndOfStream };

  void WaitForRequest();
  void ReadRequest();
  void ReadMore();
  void OnReadSome(boost::system::error_code error, size_t size);
  // Returns whether there is memory for the request that is being read.
  bool HasMemory();
  // Closes the connection if the memory of its request was taken away.
  void OnEvicted();
  void OnRequest(boost::system::error_code error);
  void RejectRequest(boost::system::error_code error);
  void RejectRequest(unsigned status,
                     std::string_view kind,
                     const std::string& detail);
  // Returns whether the request that is being read is a HEAD request.
  bool IsHead() const;
  Input PeekInput();
  void WatchForDisconnect();
  void Write(HttpResponse response, bool keep_alive);
  void SetTimeout(std::chrono::milliseconds timeout);
  void OnTimeout();
  bool HasInput() const;
  void CloseUnusedConnection();
  void Linger();
  void DiscardInput();
  void StartExchange();
  void EndExchange();
  // Logs the request, if any, that the close of the connection leaves without
  // a whole answer.
  void LogCut(std::string_view cause) const;
  void Close();

  boost::asio::ip::tcp::socket socket_;
  Timeout timeout_;
  std::shared_ptr<HttpSessionHost> host_;
  const uint64_t number_;
  boost::beast::flat_buffer buffer_;
  HttpServerLimits request_limits_;  // Of the request that is being read.
  std::optional<ReceiveBudget::Share> memory_;  // Of that request.
  size_t received_bytes_ = 0;                   // Of that request.
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  boost::beast::http::response<boost::beast::http::string_body> response_;
  std::function<void()> disconnect_hook_;
  uint64_t exchange_ = 0;
  bool awaiting_request_ = false;  // For its first byte.
  bool read_extended_ = false;     // Beyond the read timeout.
  bool handling_ = false;  // A request has been read, but not answered whole.
  bool writing_ = false;   // Its response is being written.
  bool keep_alive_ = true;
  bool is_head_ = false;  // The answer must have no body.
  bool close_when_idle_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_SRC_TRANSPORT_HTTP_SESSION_H_
