#include "greengage/transport/http_server.h"

#include <boost/asio.hpp>

#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

#include "greengage/transport/http_client.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr std::chrono::milliseconds kTimeout{5000};

// Runs an echo server on its own thread.
class EchoServer {
 public:
  EchoServer() {
    server_ = HttpServer::Listen(
                  context_, Endpoint{"127.0.0.1", 0},
                  HttpServerLimits{.body_bytes = 1024},
                  [](HttpRequest request, auto exchange) {
                    exchange->Reply(HttpResponse{
                        .body = request.path + "|" + request.parameters["a"] +
                                "|" + request.body});
                  })
                  .value();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~EchoServer() {
    context_.stop();
    thread_.join();
  }

  Endpoint endpoint() const { return server_->endpoint(); }

  size_t connections() const { return server_->connections(); }

 private:
  boost::asio::io_context context_;
  std::shared_ptr<HttpServer> server_;
  std::thread thread_;
};

}  // namespace

Test(Http, PassesPathParameterAndBodyToTheHandler) {
  EchoServer server;
  const auto response = CallAndWait(
      server.endpoint(),
      HttpCall{.method = "POST", .target = "/x?a=b%20c", .body = "hello"},
      kTimeout);
  cr_assert(response.ok());
  cr_assert(response->status == 200);
  cr_assert(response->body == "/x|b c|hello");
}

Test(Http, RejectsAnOversizedBodyWithATypedError) {
  EchoServer server;
  const auto response = CallAndWait(
      server.endpoint(),
      HttpCall{.method = "POST", .target = "/", .body = std::string(2000, 'x')},
      kTimeout);
  cr_assert(response.ok());
  cr_assert(response->status == 413);
  cr_assert(response->body.find("too_large") != std::string::npos);
}

Test(Http, CallsCloseTheirConnections) {
  EchoServer server;
  for (int i = 0; i < 20; ++i) {
    cr_assert(
        CallAndWait(server.endpoint(), HttpCall{.target = "/"}, kTimeout).ok());
  }
  const auto deadline = std::chrono::steady_clock::now() + kTimeout;
  while (server.connections() > 0 &&
         std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  cr_assert(server.connections() == 0);
}

// Guards against an exception of the HTTP library, or of a handler, that ends
// the process.
Test(Http, ErrorsOfAHandlerEndItsExchangeOnly) {
  boost::asio::io_context context;
  const auto server = *HttpServer::Listen(
      context, {"127.0.0.1", 0}, {},
      [](const HttpRequest& request,
         const std::shared_ptr<HttpExchange>& exchange) {
        if (request.path == "/throws") {
          throw std::length_error("a test");
        }
        HttpResponse response;
        if (request.path == "/long") {
          response.headers = {{"X-Long", std::string(100000, 'x')}};
        }
        exchange->Reply(std::move(response));
      });
  std::thread thread([&context] { context.run(); });
  for (const auto& [path, status] :
       {std::pair{"/throws", 500U}, {"/long", 500U}, {"/", 200U}}) {
    const auto response =
        CallAndWait(server->endpoint(), HttpCall{.target = path}, kTimeout);
    cr_assert(response.ok() && response->status == status, "%s", path);
  }
  context.stop();
  thread.join();
}

Test(Http, CallToAClosedPortFailsToConnect) {
  Endpoint closed;
  {
    EchoServer server;
    closed = server.endpoint();
  }
  const auto response = CallAndWait(closed, HttpCall{.target = "/"}, kTimeout);
  cr_assert(!response.ok());
  cr_assert(response.last_reason().kind == FailureKind::kConnectFailed);
}

}  // namespace greengage
