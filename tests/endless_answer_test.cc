// Answers and requests whose sender never finishes them.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "greengage/transport/http_client.h"
#include "greengage/transport/http_server.h"
#include "tests/harness/endless_server.h"
#include "tests/harness/http_calls.h"
#include "tests/harness/io_threads.h"
#include "tests/harness/scripted_server.h"
#include "tests/harness/start_call.h"
#include "transport/socket_address.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

// Much longer than a limit takes to be reached, and shorter than the deadline.
constexpr Ms kTimeToReachALimit{5000};
constexpr Ms kDeadline{20000};

const char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::future<HttpCallResult> StartGet(
    HttpClient& client,
    std::function<HttpResponseMatch(const HttpResponse&)> check = {}) {
  HttpCall call;
  call.target = "/";
  call.check = std::move(check);
  call.deadline = std::chrono::steady_clock::now() + kDeadline;
  return StartCall(client, std::move(call));
}

// Returns the kind of failure with which an endless answer ends, or nothing if
// it does not end in time.
std::optional<FailureKind> EndOfAnswer(const std::string& start,
                                       const std::string& piece) {
  IoThreads io(2);
  const auto server = EndlessServer::Start(io.context(), {start, piece});
  const auto client = HttpClient::Create(io.context(), server->endpoint(), {});
  std::future<HttpCallResult> call = StartGet(*client);
  if (call.wait_for(kTimeToReachALimit) != std::future_status::ready) {
    return std::nullopt;
  }
  const HttpCallResult result = call.get();
  return result.response.ok()
             ? std::nullopt
             : std::optional(result.response.last_reason().kind);
}

// Sends `start` and then `piece` again and again on a new connection. Returns
// the first bytes that the server answers with, or nothing if it does not
// answer in time.
std::string AnswerToEndlessRequest(const Endpoint& server,
                                   const std::string& start,
                                   const std::string& piece) {
  constexpr size_t kStatusLineBytes = 12;
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect(*ToTcp(server));
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(start), error);
  const auto end = std::chrono::steady_clock::now() + kTimeToReachALimit;
  while (!error && socket.available(error) < kStatusLineBytes &&
         std::chrono::steady_clock::now() < end) {
    boost::asio::write(socket, boost::asio::buffer(piece), error);
  }
  std::string answer(kStatusLineBytes, '\0');
  error = {};
  if (socket.available(error) < kStatusLineBytes) {
    return "";
  }
  boost::asio::read(socket, boost::asio::buffer(answer), error);
  return answer;
}

}  // namespace

// Guards against an instance that keeps a line of a chunked body that never
// ends and exceeds its memory limit.
Test(EndlessAnswer, EndsAChunkLineThatNeverEnds) {
  cr_assert(EndOfAnswer(std::string(kChunkedHead) + "5;", "aaaaaaaaaaaaaaaa") ==
            FailureKind::kTooLarge);
}

// Guards against the same fault in the trailer of a chunked body.
Test(EndlessAnswer, EndsATrailerThatNeverEnds) {
  cr_assert(EndOfAnswer(std::string(kChunkedHead) + "0\r\n",
                        "Name: value\r\n") == FailureKind::kTooLarge);
}

Test(EndlessAnswer, EndsAHeadThatNeverEnds) {
  cr_assert(EndOfAnswer("HTTP/1.1 200 OK\r\n", "Name: value\r\n") ==
            FailureKind::kTooLarge);
}

Test(EndlessAnswer, EndsABodyThatNeverEnds) {
  cr_assert(EndOfAnswer(kChunkedHead, "5\r\naaaaa\r\n") ==
            FailureKind::kTooLarge);
  cr_assert(EndOfAnswer("HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaaaaaaaaaa") ==
            FailureKind::kTooLarge);
}

// Guards against a way to frame an answer that no limit covers.
Test(EndlessAnswer, EndsInEachFraming) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked(kChunkedHead);
  const std::string filler(16, 'a');
  const std::string line(4000, 'a');
  const struct {
    const char* name;
    std::string start;
    std::string piece;
  } answers[] = {
      {"no HTTP", "", filler},
      {"zeros", "", std::string(16, '\0')},
      {"empty lines", "", "\r\n"},
      {"protocol name", "HTTP/1.", "1"},
      {"status", "HTTP/1.1 ", "2"},
      {"reason", "HTTP/1.1 200 ", filler},
      {"field name", ok, filler},
      {"field value", ok + "Name: ", filler},
      {"spaces in a field", ok + "Name:", "    "},
      {"folded field", ok + "Name: a\r\n", " a\r\n"},
      {"100", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"interim with a field", "",
       "HTTP/1.1 103 Early Hints\r\nLink: " + line + "\r\n\r\n"},
      {"body of HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n", filler},
      {"length", ok + "Content-Length: 1000000000000\r\n\r\n", filler},
      {"greatest length", ok + "Content-Length: 18446744073709551615\r\n\r\n",
       filler},
      {"too great a length",
       ok + "Content-Length: 99999999999999999999999\r\n\r\n", filler},
      {"digits of a length", ok + "Content-Length: 1", "0"},
      {"length and chunks",
       ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
       "5\r\naaaaa\r\n"},
      {"great chunk", chunked + "fffffffffffff0\r\n", filler},
      {"greatest chunk", chunked + "ffffffffffffffff\r\n", filler},
      {"digits of a chunk", chunked, "0"},
      {"chunk extensions", chunked, "1;" + line + "\r\na\r\n"},
      {"end of a chunk", chunked + "1\r\na", filler},
      {"field of a trailer", chunked + "0\r\nName: ", filler},
      {"folded field of a trailer", chunked + "0\r\nName: a\r\n", " a\r\n"},
      {"unknown coding", ok + "Transfer-Encoding: gzip\r\n\r\n", filler},
      {"coding before chunks", ok + "Transfer-Encoding: gzip, chunked\r\n\r\n",
       "5\r\naaaaa\r\n"},
  };
  for (const auto& answer : answers) {
    const std::optional<FailureKind> end =
        EndOfAnswer(answer.start, answer.piece);
    cr_expect(
        end == FailureKind::kTooLarge || end == FailureKind::kMalformedMessage,
        "%s: %s", answer.name,
        end ? std::string(FailureKindName(*end)).c_str() : "no end");
  }
}

// Guards against a call that never ends since interim answers, or answers to
// other calls, come again and again.
Test(EndlessAnswer, EndsInterimAnswersThatNeverEnd) {
  cr_assert(EndOfAnswer("", "HTTP/1.1 103 Early Hints\r\n\r\n") ==
            FailureKind::kMalformedMessage);
}

Test(EndlessAnswer, EndsAnswersToOtherCallsThatNeverEnd) {
  IoThreads io(2);
  const auto server = EndlessServer::Start(
      io.context(),
      {"", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", SIZE_MAX});
  const auto client = HttpClient::Create(io.context(), server->endpoint(), {});
  std::future<HttpCallResult> call = StartGet(*client, [](const HttpResponse&) {
    return HttpResponseMatch::kMismatch;
  });
  cr_assert(call.wait_for(kTimeToReachALimit) == std::future_status::ready);
  cr_assert(call.get().response.last_reason().kind ==
            FailureKind::kMalformedMessage);
}

// Guards against many connections that are within their limits and exceed the
// memory limit of the instance together.
Test(EndlessAnswer, ManyUnfinishedAnswersKeepToTheSharedBudget) {
  constexpr size_t kConnections = 100;
  constexpr size_t kBudget = size_t{8} << 20;
  constexpr size_t kPieceBytes = size_t{64} * 1024;
  // The budget has room for nine answers of this size.
  constexpr size_t kMustEnd = 90;
  IoThreads io(2);
  const auto budget = std::make_shared<ReceiveBudget>(kBudget);
  const auto endless = EndlessServer::Start(
      io.context(),
      {"HTTP/1.1 200 OK\r\n\r\n", std::string(kPieceBytes, 'a'), 14});
  const auto client = HttpClient::Create(
      io.context(), endless->endpoint(),
      {.connections = kConnections, .receive_budget = budget});
  std::vector<std::future<HttpCallResult>> calls;
  for (size_t i = 0; i < kConnections; ++i) {
    calls.push_back(StartGet(*client));
  }
  const auto end = std::chrono::steady_clock::now() + kTimeToReachALimit;
  size_t ended = 0;
  size_t most_reserved = 0;
  while (ended < kMustEnd && std::chrono::steady_clock::now() < end) {
    most_reserved = std::max(most_reserved, budget->reserved());
    ended = 0;
    for (const auto& call : calls) {
      ended += call.wait_for(Ms(0)) == std::future_status::ready ? 1 : 0;
    }
  }
  cr_assert(most_reserved > kBudget / 2 && most_reserved <= kBudget);
  cr_assert(ended >= kMustEnd);
  const auto ordinary = ScriptedServer::Start(
      io.context(), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
  const auto other = HttpClient::Create(io.context(), ordinary->endpoint(),
                                        {.receive_budget = budget});
  cr_assert(StartGet(*other).get().response->body == "ok");
}

// Guards against stalled answers that keep the memory from those of others.
Test(EndlessAnswer, StalledAnswersMakeRoomForOthers) {
  constexpr size_t kConnections = 20;
  constexpr size_t kBudget = size_t{8} << 20;
  IoThreads io(2);
  const auto budget = std::make_shared<ReceiveBudget>(kBudget);
  const auto stalled = EndlessServer::Start(
      io.context(),
      {"HTTP/1.1 200 OK\r\n\r\n", std::string(size_t{64} << 10, 'a'), 14});
  const auto client = HttpClient::Create(
      io.context(), stalled->endpoint(),
      {.connections = kConnections, .receive_budget = budget});
  std::vector<std::future<HttpCallResult>> calls;
  for (size_t i = 0; i < kConnections; ++i) {
    calls.push_back(StartGet(*client));
  }
  cr_assert(Eventually([&] { return budget->reserved() > kBudget * 4 / 5; }));
  std::this_thread::sleep_for(ReceiveBudget::kProtectedTime);
  const std::string body(size_t{900} << 10, 'b');
  const auto ordinary = ScriptedServer::Start(
      io.context(),
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n" + body,
      false);
  const auto other = HttpClient::Create(io.context(), ordinary->endpoint(),
                                        {.receive_budget = budget});
  const HttpCallResult result = StartGet(*other).get();
  cr_assert(result.response && result.response->body == body);
  cr_assert(budget->reserved() <= kBudget);
}

// Guards against requests that take up all memory because they never end.
Test(EndlessRequest, ManyKeepToTheSharedBudget) {
  constexpr size_t kCallers = 60;
  constexpr size_t kBudget = size_t{1} << 20;
  const std::string body(size_t{60} << 10, 'a');
  IoThreads io(2);
  const auto budget = std::make_shared<ReceiveBudget>(kBudget);
  const auto server = *HttpServer::Listen(
      io.context(), {"127.0.0.1", 0}, {.receive_budget = budget},
      [](const HttpRequest& request,
         const std::shared_ptr<HttpExchange>& exchange) {
        exchange->Reply({.body = request.body});
      });
  boost::asio::io_context context;
  std::vector<boost::asio::ip::tcp::socket> callers;
  for (size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back(context).connect(*ToTcp(server->endpoint()));
    boost::asio::write(
        callers.back(),
        boost::asio::buffer("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                            std::to_string(body.size() + 1) + "\r\n\r\n" +
                            body));
  }
  cr_assert(Eventually([&] { return budget->reserved() > kBudget * 4 / 5; }));
  std::this_thread::sleep_for(ReceiveBudget::kProtectedTime);
  const auto answer = CallAndWait(
      server->endpoint(), {.method = "POST", .target = "/", .body = body},
      kTimeToReachALimit);
  cr_assert(answer && answer->body == body);
  cr_assert(budget->reserved() <= kBudget);
}

// Guards against a small body that is spread over endless lines of chunks.
Test(EndlessRequest, RejectsEndlessChunkExtensions) {
  IoThreads io(2);
  const auto server = *HttpServer::Listen(
      io.context(), {"127.0.0.1", 0}, {.read_timeout = kDeadline},
      [](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) {
        exchange->Reply({});
      });
  cr_assert(AnswerToEndlessRequest(
                server->endpoint(),
                "POST / HTTP/1.1\r\nHost: a\r\n"
                "Transfer-Encoding: chunked\r\n\r\n",
                "1;" + std::string(4000, 'a') + "\r\na\r\n") == "HTTP/1.1 413");
}

// Guards against the same fault in the requests of callers.
Test(EndlessAnswer, RejectsARequestWhoseChunkLineNeverEnds) {
  IoThreads io(2);
  const auto server = *HttpServer::Listen(
      io.context(), {"127.0.0.1", 0}, {},
      [](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) {
        exchange->Reply({});
      });
  const std::string head =
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string piece(1000, 'a');
  cr_assert(AnswerToEndlessRequest(server->endpoint(), head + "5;", piece) ==
            "HTTP/1.1 413");
  cr_assert(AnswerToEndlessRequest(server->endpoint(), head + "0\r\n",
                                   "Name: value\r\n") == "HTTP/1.1 413");
}

}  // namespace greengage
