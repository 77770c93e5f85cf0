// A TCP server that answers each HTTP request with the bytes that a callback
// returns.
#ifndef GREENGAGE_TESTS_HARNESS_RAW_SERVER_H_
#define GREENGAGE_TESTS_HARNESS_RAW_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "greengage/state/endpoint.h"

namespace greengage {

struct RawRequest {
  std::string head;       // Request line and headers, including the empty line.
  std::string body;       // Its length is Content-Length.
  size_t connection = 0;  // Counts the accepted connections, from 1.

  std::string Line() const { return head.substr(0, head.find('\r')); }

  // Returns the value of header `name`, or an empty string if it is missing.
  // The name is case-sensitive.
  std::string Header(std::string_view name) const;
};

struct RawReply {
  std::string bytes;
  std::chrono::milliseconds delay{0};
  bool close = false;  // Close the connection after the bytes.
  bool reset = false;  // Reset the connection after the bytes.
};

// Formats an HTTP/1.1 response. Each header in `headers` has the form
// "Name: value\r\n".
std::string HttpBytes(unsigned status,
                      const std::string& headers,
                      const std::string& body);

// Not thread-safe: the io_context must run on one thread.
class RawServer : public std::enable_shared_from_this<RawServer> {
 public:
  using Handler = std::function<RawReply(const RawRequest&)>;

  static std::shared_ptr<RawServer> Start(boost::asio::io_context& context,
                                          Handler handler);

  // Closes all connections. Must be called on the thread of the io_context or
  // while it has nothing to do.
  void CloseConnections();

  // Closes the listener and all connections, as the end of a process does. Must
  // be called on the thread of the io_context.
  void Stop();

  Endpoint endpoint() const { return endpoint_; }
  size_t accepted() const { return accepted_; }
  size_t requests() const { return requests_; }

 private:
  struct Session;

  RawServer(boost::asio::io_context& context, Handler handler);
  void Accept();
  void ReadHead(const std::shared_ptr<Session>& session);
  void ReadBody(const std::shared_ptr<Session>& session, size_t head_bytes);
  void Answer(const std::shared_ptr<Session>& session,
              const RawRequest& request);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const Endpoint endpoint_;
  const Handler handler_;
  std::vector<std::weak_ptr<Session>> sessions_;
  std::atomic<size_t> accepted_ = 0;
  std::atomic<size_t> requests_ = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_RAW_SERVER_H_
