// Requests that arrive while a server closes their connection or its listener.
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "greengage/transport/http_server.h"
#include "tests/harness/io_threads.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr std::string_view kRequest = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr milliseconds kShortTimeout{100};

// Too large for the buffers of the sockets.
constexpr size_t kLargeAnswerBytes = 16'000'000;
constexpr int kReceiveBuffer = 4096;

// Time for which a server keeps a new connection without a request after
// StopAccepting().
constexpr milliseconds kFirstRequestTimeout{500};

// A server on one thread, and a connection to it.
class Fixture {
 public:
  explicit Fixture(HttpServerLimits limits) {
    server_ = *HttpServer::Listen(
        threads_.context(), {"127.0.0.1", 0}, std::move(limits),
        [this](const HttpRequest&,
               const std::shared_ptr<HttpExchange>& exchange) {
          ++handled_;
          exchange->Reply(HttpResponse{.body = "{}"});
        });
  }

  void Connect() {
    socket_.connect(
        {asio::ip::address_v4::loopback(), server_->endpoint().port});
    socket_.set_option(asio::ip::tcp::no_delay(true));
  }

  void ConnectAndWaitUntilAccepted() {
    Connect();
    while (server_->connections() == 0) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  // Keeps the server's thread busy for `time`, from the return of this function
  // on.
  void Occupy(milliseconds time) {
    const auto started = std::make_shared<std::atomic<bool>>(false);
    asio::post(threads_.context(), [started, time] {
      *started = true;
      std::this_thread::sleep_for(time);
    });
    while (!*started) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  // Keeps it busy once more, after what it does now.
  void OccupyNext(milliseconds time) {
    asio::post(threads_.context(), [this, time] {
      occupied_again_ = true;
      std::this_thread::sleep_for(time);
    });
  }

  void WaitUntilOccupiedAgain() {
    while (!occupied_again_) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  void Send(std::string_view bytes) {
    asio::write(socket_, asio::buffer(bytes));
  }

  bool ReceivesAnswer() {
    std::string answer;
    boost::system::error_code error;
    asio::read_until(socket_, asio::dynamic_buffer(answer), "\r\n\r\n{}",
                     error);
    return !error && answer.starts_with("HTTP/1.1 200");
  }

  HttpServer& server() { return *server_; }
  int handled() const { return handled_; }

 private:
  std::atomic<int> handled_ = 0;
  std::atomic<bool> occupied_again_ = false;
  std::shared_ptr<HttpServer> server_;
  asio::io_context context_;
  asio::ip::tcp::socket socket_{context_};
  IoThreads threads_{1};
};

Test(HttpSessionTimeout, RequestThatArrivesAsTheIdleTimeoutExpiresIsAnswered) {
  Fixture fixture({.idle_timeout = kShortTimeout});
  fixture.ConnectAndWaitUntilAccepted();
  fixture.Occupy(2 * kShortTimeout);
  fixture.Send(kRequest);
  cr_assert(fixture.ReceivesAnswer(), "%d handled", fixture.handled());
}

Test(HttpSessionTimeout, FirstRequestDuringAStopIsAnsweredAsItsTimeExpires) {
  Fixture fixture({});
  fixture.ConnectAndWaitUntilAccepted();
  fixture.server().StopAccepting();
  std::this_thread::sleep_for(kShortTimeout);
  fixture.Occupy(kFirstRequestTimeout);
  fixture.Send(kRequest);
  cr_assert(fixture.ReceivesAnswer(), "%d handled", fixture.handled());
}

Test(HttpSessionTimeout, RequestThatEndsAsTheReadTimeoutExpiresIsAnswered) {
  Fixture fixture({.read_timeout = kShortTimeout});
  fixture.ConnectAndWaitUntilAccepted();
  fixture.Send(kRequest.substr(0, 10));
  std::this_thread::sleep_for(kShortTimeout / 4);
  fixture.Occupy(2 * kShortTimeout);
  fixture.Send(kRequest.substr(10));
  cr_assert(fixture.ReceivesAnswer(), "%d handled", fixture.handled());
}

// The expiry is queued between two reads of the rest of the request.
Test(HttpSessionTimeout, LongRequestThatEndsAsTheReadTimeoutExpiresIsAnswered) {
  for (const size_t size : {600, 6000}) {
    Fixture fixture({.read_timeout = kShortTimeout});
    fixture.ConnectAndWaitUntilAccepted();
    const std::string request =
        "GET /x HTTP/1.1\r\nHost: x\r\nX-Pad: " + std::string(size, 'x') +
        "\r\n\r\n";
    fixture.Send(std::string_view(request).substr(0, 10));
    std::this_thread::sleep_for(kShortTimeout / 4);
    fixture.Occupy(2 * kShortTimeout);
    fixture.Send(std::string_view(request).substr(10));
    cr_assert(fixture.ReceivesAnswer(), "%zu bytes, %d handled", size,
              fixture.handled());
  }
}

// The connection is accepted while the handler that closes the listener waits.
Test(HttpServerStop, ConnectionAcceptedAsTheListenerClosesIsServed) {
  Fixture fixture({});
  fixture.Occupy(kShortTimeout);
  fixture.OccupyNext(kShortTimeout);
  fixture.Connect();
  fixture.Send(kRequest);
  fixture.WaitUntilOccupiedAgain();
  fixture.server().StopAccepting();
  cr_assert(fixture.ReceivesAnswer(), "%d handled", fixture.handled());
}

Test(HttpServerStop, AnswerBeforeAPipelinedRequestIsWhole) {
  IoThreads threads(1);
  const std::string body(kLargeAnswerBytes, 'x');
  std::atomic<int> handled = 0;
  const auto server = *HttpServer::Listen(
      threads.context(), {"127.0.0.1", 0}, HttpServerLimits{},
      [&](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) {
        exchange->Reply(HttpResponse{.body = ++handled == 1 ? body : "{}"});
      });
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.open(asio::ip::tcp::v4());
  socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
  socket.connect({asio::ip::address_v4::loopback(), server->endpoint().port});
  asio::write(socket, asio::buffer(kRequest));
  std::this_thread::sleep_for(kShortTimeout);
  asio::write(socket, asio::buffer(kRequest));
  std::this_thread::sleep_for(kShortTimeout);
  server->StopAccepting();
  std::this_thread::sleep_for(kShortTimeout);
  std::string answer;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  cr_assert(answer.size() > body.size() && answer.ends_with("\r\n\r\n{}"),
            "%zu bytes, %d handled, %s", answer.size(), handled.load(),
            error.message().c_str());
}

}  // namespace
}  // namespace greengage
