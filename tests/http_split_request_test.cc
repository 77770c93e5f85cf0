// Requests that arrive in several segments.
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <memory>
#include <string>

#include "greengage/transport/http_server.h"
#include "tests/harness/io_threads.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

namespace asio = boost::asio;

constexpr int kRequests = 3000;
constexpr std::chrono::milliseconds kHandlingTime{1};

// Responds after a delay, during which the server watches the connection for a
// disconnect.
void ReplyLater(asio::io_context& context,
                const std::shared_ptr<HttpExchange>& exchange) {
  const auto timer =
      std::make_shared<asio::steady_timer>(context, kHandlingTime);
  timer->async_wait(
      [timer, exchange](auto) { exchange->Reply(HttpResponse{.body = "{}"}); });
}

// Sends a request with its header and body in separate segments. Returns true
// if it is answered.
bool IsAnswered(asio::ip::tcp::socket& socket) {
  const std::string header =
      "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n";
  boost::system::error_code error;
  asio::write(socket, asio::buffer(header), error);
  asio::write(socket, asio::buffer("body", 4), error);
  std::string answer;
  asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n{}", error);
  return !error && answer.starts_with("HTTP/1.1 200");
}

// Guards against lost responses: the readiness event for the segment of the
// body may arrive after the body was read, and must not be treated as a
// disconnect.
Test(HttpSplitRequest, EveryRequestIsAnswered) {
  IoThreads threads(2);
  const auto server = HttpServer::Listen(
      threads.context(), {"127.0.0.1", 0}, HttpServerLimits{},
      [&](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) {
        ReplyLater(threads.context(), exchange);
      });
  cr_assert(server.ok());
  const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(),
                                         (*server)->endpoint().port);
  asio::io_context context;
  int unanswered = 0;
  for (int i = 0; i < kRequests; ++i) {
    asio::ip::tcp::socket socket(context);
    socket.connect(endpoint);
    socket.set_option(asio::ip::tcp::no_delay(true));
    unanswered += IsAnswered(socket) ? 0 : 1;
  }
  cr_expect(unanswered == 0, "%d of %d unanswered", unanswered, kRequests);
}

}  // namespace
}  // namespace greengage
