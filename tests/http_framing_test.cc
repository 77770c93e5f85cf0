// Messages whose end the two sides of a connection may see at different places.
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "greengage/transport/http_client.h"
#include "greengage/transport/http_server.h"
#include "tests/harness/io_threads.h"
#include "tests/harness/raw_server.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::seconds kTimeout{5};
constexpr char kNext[] =
    "GET /next HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

// A server that answers each request with status 503 and a body.
class Server {
 public:
  Server()
      : server_(*HttpServer::Listen(
            io_.context(),
            {"127.0.0.1", 0},
            {},
            [this](const HttpRequest& request,
                   const std::shared_ptr<HttpExchange>& exchange) {
              {
                const std::lock_guard lock(mutex_);
                targets_.push_back(request.target);
              }
              exchange->Reply({.status = 503, .body = "{\"error\": 1}"});
            })) {}

  // Sends bytes on a connection of their own and returns all that comes back.
  std::string Exchange(const std::string& bytes) const {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(
        {asio::ip::address_v4::loopback(), server_->endpoint().port});
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
  }

  std::vector<std::string> TakeTargets() {
    const std::lock_guard lock(mutex_);
    return std::exchange(targets_, {});
  }

 private:
  std::mutex mutex_;
  std::vector<std::string> targets_;
  IoThreads io_{1};
  std::shared_ptr<HttpServer> server_;
};

// Returns the body of the answer that a server makes of `bytes`, or the name of
// the failure.
std::string AnswerFrom(const std::string& bytes) {
  IoThreads io(1);
  const auto server = RawServer::Start(
      io.context(), [&bytes](const RawRequest&) { return RawReply{bytes}; });
  const auto answer =
      CallAndWait(server->endpoint(), {.target = "/"}, kTimeout);
  return answer ? answer->body
                : std::string(FailureKindName(answer.last_reason().kind));
}

}  // namespace

Test(HttpFraming, AnswerToHeadHasNoBody) {
  Server server;
  const std::string answers = server.Exchange(
      "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n" + std::string(kNext));
  const size_t end = answers.find("\r\n\r\n");
  cr_assert(end != std::string::npos);
  cr_assert(answers.substr(end + 4).starts_with("HTTP/1.1 503"), "%s",
            answers.c_str());
}

Test(HttpFraming, RejectionOfALongHeadRequestHasNoBody) {
  Server server;
  const std::string answer = server.Exchange(
      "HEAD /" + std::string(100000, 'a') + " HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_assert(answer.starts_with("HTTP/1.1 431"));
  cr_assert(answer.ends_with("\r\n\r\n"), "%s", answer.c_str());
}

// The server does not know where such a body ends.
Test(HttpFraming, BodyInAnUnknownTransferCodingIsNotTheNextRequest) {
  Server server;
  for (const char* const coding :
       {"Transfer-Encoding: gzip", "Transfer-Encoding: identity",
        "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: xchunked", "Transfer-Encoding: chunked;q=1",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip\r\nContent-Length: 0",
        "Content-Length: 0\r\nTransfer-Encoding: gzip"}) {
    const std::string answers =
        server.Exchange("POST /first HTTP/1.1\r\nHost: h\r\n" +
                        std::string(coding) + "\r\n\r\n" + kNext);
    cr_expect(answers.starts_with("HTTP/1.1 400"), "%s: %s", coding,
              answers.c_str());
    cr_expect(server.TakeTargets().empty(), "%s", coding);
  }
}

Test(HttpFraming, BodyWithALengthThatIsNoNumberIsNotTheNextRequest) {
  Server server;
  for (const char* const length : {"", " ", ",", ", ,", "0,", "+1", "0x1"}) {
    const std::string answers =
        server.Exchange("POST /first HTTP/1.1\r\nHost: h\r\nContent-Length:" +
                        std::string(length) + "\r\n\r\n" + kNext);
    cr_expect(answers.starts_with("HTTP/1.1 400"), "'%s': %s", length,
              answers.c_str());
    cr_expect(server.TakeTargets().empty(), "'%s'", length);
  }
}

Test(HttpFraming, RequestForTwoHostsIsRejected) {
  Server server;
  const std::string answers =
      server.Exchange("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n");
  cr_assert(answers.starts_with("HTTP/1.1 400"), "%s", answers.c_str());
  cr_assert(server.TakeTargets().empty());
}

Test(HttpFraming, AnswerInAnUnknownTransferCodingIsMalformed) {
  for (const char* const coding :
       {"Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: gzip\r\nContent-Length: 11"}) {
    const std::string answer =
        AnswerFrom("HTTP/1.1 200 OK\r\n" + std::string(coding) +
                   "\r\n\r\n1\r\na\r\n0\r\n\r\n");
    cr_expect(answer == "malformed_message", "%s: %s", coding, answer.c_str());
  }
}

Test(HttpFraming, AnswerWithAStatusThatDoesNotExistIsMalformed) {
  for (const char* const status : {"000", "099"}) {
    const std::string answer =
        AnswerFrom("HTTP/1.1 " + std::string(status) +
                   " Any\r\nContent-Length: 2\r\n\r\nok");
    cr_expect(answer == "malformed_message", "%s: %s", status, answer.c_str());
  }
}

// The time overflows in nanoseconds.
Test(HttpFraming, LongIdleTimeoutKeepsTheConnection) {
  IoThreads io(1);
  const auto server = RawServer::Start(io.context(), [](const RawRequest&) {
    return RawReply{HttpBytes(200, "Keep-Alive: timeout=200000000\r\n", "ok")};
  });
  const auto client = HttpClient::Create(io.context(), server->endpoint(), {});
  for (int i = 0; i < 3; ++i) {
    std::promise<void> ended;
    HttpCall call{.target = "/"};
    call.deadline = std::chrono::steady_clock::now() + kTimeout;
    client->Start(std::move(call),
                  [&ended](const HttpCallResult&) { ended.set_value(); });
    ended.get_future().wait();
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
  }
  cr_assert(server->accepted() == 1, "%zu connections", server->accepted());
}

}  // namespace greengage
