#include "greengage/transport/http_client.h"

#include <atomic>
#include <chrono>
#include <deque>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "greengage/transport/http_server.h"
#include "tests/harness/io_threads.h"
#include "tests/harness/scripted_server.h"
#include "tests/harness/tcp_relay.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

constexpr size_t kThreads = 3;
constexpr char kCompleteResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

class Call {
 public:
  Call(HttpClient& client, std::string target, Ms timeout = Ms(10000))
      : Call(client, HttpCall{.target = std::move(target)}, timeout) {}

  // Sets the deadline of `call` to the end of `timeout`.
  Call(HttpClient& client, HttpCall call, Ms timeout = Ms(10000))
      : state_(std::make_shared<std::promise<HttpCallResult>>()),
        ended_(state_->get_future()) {
    call.deadline = std::chrono::steady_clock::now() + timeout;
    id_ =
        client.Start(std::move(call), [state = state_](HttpCallResult result) {
          state->set_value(std::move(result));
        });
  }

  HttpCallResult Wait() { return ended_.get(); }
  bool EndsWithin(Ms time) {
    return ended_.wait_for(time) == std::future_status::ready;
  }
  HttpClient::CallId id() const { return id_; }

 private:
  std::shared_ptr<std::promise<HttpCallResult>> state_;
  std::future<HttpCallResult> ended_;
  HttpClient::CallId id_ = 0;
};

// Responds immediately, except to /hold.
class Server {
 public:
  explicit Server(IoThreads& io)
      : server_(*HttpServer::Listen(
            io.context(),
            {"127.0.0.1", 0},
            {},
            [this](const HttpRequest& request,
                   const std::shared_ptr<HttpExchange>& exchange) {
              Handle(request, exchange);
            })) {}

  Endpoint endpoint() const { return server_->endpoint(); }
  size_t connections() const { return server_->connections(); }

  // Number of connections on which a request arrived.
  size_t first_requests() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return used_.size();
  }

 private:
  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpExchange>& exchange) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      used_.insert(exchange->connection());
    }
    if (request.path == "/hold") {
      const std::lock_guard<std::mutex> lock(mutex_);
      held_.push_back(exchange);
      return;
    }
    exchange->Reply({.body = request.path});
  }

  std::mutex mutex_;
  std::vector<std::shared_ptr<HttpExchange>> held_;
  std::set<uint64_t> used_;  // Numbers of connections.
  std::shared_ptr<HttpServer> server_;
};

// Waits until the server has `count` connections. Returns false if it does not
// within five seconds.
bool HasConnections(const Server& server, size_t count) {
  for (int i = 0; i < 500 && server.connections() != count; ++i) {
    std::this_thread::sleep_for(Ms(10));
  }
  return server.connections() == count;
}

FailureKind KindOf(const HttpCallResult& result) {
  cr_assert(!result.response.ok());
  return result.response.last_reason().kind;
}

HttpCallResult CallScripted(const std::string& answer, size_t body_bytes) {
  IoThreads io(kThreads);
  const auto server = ScriptedServer::Start(io.context(), answer, true);
  const auto client = HttpClient::Create(io.context(), server->endpoint(),
                                         {.body_bytes = body_bytes});
  return Call(*client, "/").Wait();
}

}  // namespace

Test(HttpClient, CompletesManyCallsWithinItsConnectionLimit) {
  IoThreads io(kThreads);
  Server server(io);
  const auto client = HttpClient::Create(io.context(), server.endpoint(),
                                         {.connections = 3, .connecting = 2});
  std::deque<Call> calls;
  for (int i = 0; i < 500; ++i) {
    calls.emplace_back(*client, "/" + std::to_string(i));
  }
  for (int i = 0; i < 500; ++i) {
    const HttpCallResult result = calls[i].Wait();
    cr_assert(result.response->body == "/" + std::to_string(i));
    cr_assert(client->open_connections() <= 3);
  }
}

Test(HttpClient, QueuedCallsEndWithoutBeingSent) {
  IoThreads io(kThreads);
  Server server(io);
  const auto client =
      HttpClient::Create(io.context(), server.endpoint(), {.connections = 1});
  Call busy(*client, "/hold");
  Call expired(*client, "/x", Ms(50));
  Call cancelled(*client, "/x");
  const HttpCallResult timed_out = expired.Wait();
  cr_assert(KindOf(timed_out) == FailureKind::kTimedOut && !timed_out.sent);
  client->Cancel(cancelled.id());
  const HttpCallResult cancelled_result = cancelled.Wait();
  cr_assert(KindOf(cancelled_result) == FailureKind::kCancelled &&
            !cancelled_result.sent);
  cr_assert(!busy.EndsWithin(Ms(0)));
}

// Guards against calls that reach a server after its client was closed.
Test(HttpClient, CloseEndsQueuedCallsUnsentAndLetsSentOnesFinish) {
  IoThreads io(kThreads);
  Server server(io);
  const auto client =
      HttpClient::Create(io.context(), server.endpoint(), {.connections = 1});
  Call busy(*client, "/hold");
  cr_assert(!busy.EndsWithin(Ms(50)));
  Call queued(*client, "/x");
  client->Close();
  const HttpCallResult result = queued.Wait();
  cr_assert(KindOf(result) == FailureKind::kUnavailable && !result.sent);
  cr_assert(!busy.EndsWithin(Ms(0)));
}

Test(HttpClient, BeforeSendDecidesWhenAConnectionIsFree) {
  IoThreads io(kThreads);
  Server server(io);
  const auto client =
      HttpClient::Create(io.context(), server.endpoint(), {.connections = 1});
  Call busy(*client, "/hold", Ms(200));
  std::atomic<bool> allowed = true;
  const auto check = [&allowed](TimePoint, HeaderList& headers) {
    headers = {{"X-Now", "1"}};
    return allowed ? std::nullopt
                   : std::optional<Failure>(
                         {FailureKind::kOverloaded, "call", "not now"});
  };
  Call withheld(*client, HttpCall{.target = "/a", .before_send = check});
  cr_assert(!withheld.EndsWithin(Ms(50)));
  allowed = false;
  const HttpCallResult result = withheld.Wait();
  cr_assert(KindOf(result) == FailureKind::kOverloaded && !result.sent);
  allowed = true;
  cr_assert(Call(*client, HttpCall{.target = "/b", .before_send = check})
                .Wait()
                .response->body == "/b");
}

Test(HttpClient, CancelAndDeadlineCloseTheBusyConnection) {
  IoThreads io(kThreads);
  Server server(io);
  const auto client =
      HttpClient::Create(io.context(), server.endpoint(), {.connections = 1});
  Call late(*client, "/hold", Ms(50));
  const HttpCallResult timed_out = late.Wait();
  cr_assert(KindOf(timed_out) == FailureKind::kTimedOut && timed_out.sent);
  Call cancelled(*client, "/hold");
  std::this_thread::sleep_for(Ms(50));
  client->Cancel(cancelled.id());
  const HttpCallResult cancelled_result = cancelled.Wait();
  cr_assert(KindOf(cancelled_result) == FailureKind::kCancelled &&
            cancelled_result.sent);
  cr_assert(Call(*client, "/next").Wait().response->body == "/next");
}

Test(HttpClient, CallsToAnUnreachableServerAreNotSent) {
  IoThreads io(kThreads);
  const auto client = HttpClient::Create(io.context(), {"127.0.0.1", 1}, {});
  for (int i = 0; i < 100; ++i) {
    const HttpCallResult result = Call(*client, "/").Wait();
    cr_assert(KindOf(result) == FailureKind::kConnectFailed && !result.sent);
  }
}

Test(HttpClient, LosesNoCallOnAConnectionClosedWhileIdle) {
  IoThreads io(kThreads);
  const auto server =
      ScriptedServer::Start(io.context(), kCompleteResponse, true);
  const auto client =
      HttpClient::Create(io.context(), server->endpoint(), {.connections = 1});
  for (size_t i = 1; i <= 20; ++i) {
    cr_assert(Call(*client, "/").Wait().response->body == "ok");
    // The server closes the connection right after the response; the client
    // needs some time to detect it.
    std::this_thread::sleep_for(Ms(5));
    cr_assert(server->accepted() == i);
  }
}

Test(HttpClient, MalformedResponsesFailWithTheirKind) {
  for (const char* answer : {"nonsense\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n",
                             "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"}) {
    const HttpCallResult result = CallScripted(answer, 100);
    cr_assert(KindOf(result) == FailureKind::kMalformedMessage, "%s", answer);
    cr_assert(result.sent);
  }
  const HttpCallResult truncated =
      CallScripted("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", 100);
  cr_assert(KindOf(truncated) == FailureKind::kConnectionClosed);
}

// Guards against an interim answer that is passed on as the final one.
Test(HttpClient, InterimAnswersAreNotTheAnswer) {
  for (const char* const interim :
       {"HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"}) {
    const HttpCallResult result =
        CallScripted(std::string(interim) + interim + kCompleteResponse, 100);
    cr_assert(result.response.ok() && result.response->status == 200);
    cr_assert(result.response->body == "ok");
  }
}

Test(HttpClient, ResponsesOverTheLimitsAreRejected) {
  const HttpCallResult body =
      CallScripted("HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n", 100);
  cr_assert(KindOf(body) == FailureKind::kTooLarge);
  const HttpCallResult header = CallScripted(
      "HTTP/1.1 200 OK\r\nX: " + std::string(10000, 'x') + "\r\n\r\n", 100);
  cr_assert(KindOf(header) == FailureKind::kTooLarge);
}

Test(HttpClient, UnexpectedResponseIsNotUsedForTheNextCall) {
  IoThreads io(kThreads);
  const auto server = ScriptedServer::Start(
      io.context(), std::string(kCompleteResponse) + kCompleteResponse, false);
  const auto client =
      HttpClient::Create(io.context(), server->endpoint(), {.connections = 1});
  cr_assert(Call(*client, "/").Wait().response.ok());
  cr_assert(Call(*client, "/").Wait().response.ok());
  cr_assert(server->accepted() == 2);
}

// Guards against a response to an earlier call that counts as that to a later
// one because it does not name its call.
Test(HttpClient, UnidentifiedResponseIsTheFirstAndLastOfItsConnection) {
  IoThreads io(kThreads);
  const auto server =
      ScriptedServer::Start(io.context(), kCompleteResponse, false);
  const auto client =
      HttpClient::Create(io.context(), server->endpoint(), {.connections = 1});
  for (size_t i = 1; i <= 3; ++i) {
    HttpCall call;
    call.check = [](const HttpResponse&) {
      return HttpResponseMatch::kUnidentified;
    };
    cr_assert(Call(*client, std::move(call)).Wait().response.ok());
    cr_assert(server->accepted() == i);
  }
}

Test(HttpClient, UnidentifiedResponseEndsACallOnAUsedConnection) {
  IoThreads io(kThreads);
  const auto server =
      ScriptedServer::Start(io.context(), kCompleteResponse, false);
  const auto client =
      HttpClient::Create(io.context(), server->endpoint(), {.connections = 1});
  cr_assert(Call(*client, "/").Wait().response.ok());
  HttpCall call;
  call.check = [](const HttpResponse&) {
    return HttpResponseMatch::kUnidentified;
  };
  const HttpCallResult result = Call(*client, std::move(call)).Wait();
  cr_assert(KindOf(result) == FailureKind::kMalformedMessage && result.sent);
}

Test(HttpClient, CallsGetAnUnusedConnectionWithinTheConnectionLimit) {
  for (const size_t connections : {size_t{1}, size_t{3}}) {
    IoThreads io(kThreads);
    Server server(io);
    const auto client =
        HttpClient::Create(io.context(), server.endpoint(),
                           {.connections = connections, .connecting = 2});
    std::deque<Call> calls;
    for (int i = 0; i < 200; ++i) {
      HttpCall call;
      call.target = "/" + std::to_string(i);
      call.needs_unused_connection = i % 4 == 3;
      calls.emplace_back(*client, std::move(call));
    }
    for (int i = 0; i < 200; ++i) {
      const HttpCallResult result = calls[i].Wait();
      cr_assert(result.response->body == "/" + std::to_string(i));
      cr_assert(client->open_connections() <= connections);
    }
    cr_assert(server.first_requests() >= 50);
  }
}

Test(HttpClient, CallThatNeedsAnUnusedConnectionFailsUnsentWithoutOne) {
  IoThreads io(kThreads);
  Server server(io);
  const auto relay = TcpRelay::Start(io.context(), server.endpoint());
  const auto client =
      HttpClient::Create(io.context(), relay->endpoint(), {.connections = 2});
  Call busy(*client, "/hold");
  cr_assert(!busy.EndsWithin(Ms(50)));
  relay->StopAccepting();
  HttpCall call;
  call.needs_unused_connection = true;
  const HttpCallResult result = Call(*client, std::move(call)).Wait();
  cr_assert(KindOf(result) == FailureKind::kConnectFailed && !result.sent);
}

// Guards against connections to a searcher beyond its limit in sum, once
// instances are back whose share the others used.
Test(HttpClient, IdleConnectionsBeyondALowerLimitAreClosed) {
  IoThreads io(kThreads);
  Server server(io);
  std::atomic<size_t> limit = 4;
  HttpClientLimits limits;
  limits.dynamic_connection_limit = [&limit] { return limit.load(); };
  const auto client =
      HttpClient::Create(io.context(), server.endpoint(), limits);
  Call held(*client, "/hold");
  Call second(*client, "/a");
  Call third(*client, "/b");
  Call fourth(*client, "/c");
  cr_assert(HasConnections(server, 4));
  limit = 2;
  client->TrimConnections();
  cr_assert(HasConnections(server, 2));
  std::this_thread::sleep_for(Ms(100));
  cr_assert(server.connections() == 2);
  cr_assert(Call(*client, "/d").Wait().response.ok());
  limit = 0;
  client->TrimConnections();
  cr_assert(HasConnections(server, 1));
  cr_assert(!held.EndsWithin(Ms(200)));
  cr_assert(server.connections() == 1);
}

Test(HttpClient, IdleConnectionsExpire) {
  IoThreads io(kThreads);
  Server server(io);
  const auto client = HttpClient::Create(io.context(), server.endpoint(),
                                         {.idle_timeout = Ms(50)});
  cr_assert(Call(*client, "/").Wait().response.ok());
  for (int i = 0; i < 500 && client->open_connections() > 0; ++i) {
    std::this_thread::sleep_for(Ms(10));
  }
  cr_assert(client->open_connections() == 0);
}

Test(HttpClient, UnresponsiveBusyConnectionIsReplacedWithinASecond) {
  IoThreads io(kThreads);
  Server server(io);
  const auto relay = TcpRelay::Start(io.context(), server.endpoint());
  const auto client =
      HttpClient::Create(io.context(), relay->endpoint(),
                         {.connections = 2, .probe_target = "/health"});
  cr_assert(Call(*client, "/").Wait().response.ok());
  relay->SilenceConnections();
  Call stalled(*client, "/stalled");
  cr_assert(stalled.EndsWithin(Ms(1000)));
  const HttpCallResult result = stalled.Wait();
  cr_assert(KindOf(result) == FailureKind::kSilentConnection && result.sent);
  cr_assert(Call(*client, "/", Ms(1000)).Wait().response.ok());
}

Test(HttpClient, UnresponsiveIdleConnectionIsReplacedAtTheConnectionLimit) {
  IoThreads io(kThreads);
  Server server(io);
  const auto relay = TcpRelay::Start(io.context(), server.endpoint());
  const auto client =
      HttpClient::Create(io.context(), relay->endpoint(),
                         {.connections = 1, .probe_target = "/health"});
  cr_assert(Call(*client, "/").Wait().response.ok());
  relay->SilenceConnections();
  std::this_thread::sleep_for(Ms(1000));
  cr_assert(Call(*client, "/", Ms(200)).Wait().response.ok());
}

Test(HttpClient, UnresponsiveIdleConnectionIsReplacedWithinASecond) {
  IoThreads io(kThreads);
  Server server(io);
  const auto relay = TcpRelay::Start(io.context(), server.endpoint());
  const auto client =
      HttpClient::Create(io.context(), relay->endpoint(),
                         {.connections = 2, .probe_target = "/health"});
  cr_assert(Call(*client, "/").Wait().response.ok());
  relay->SilenceConnections();
  std::this_thread::sleep_for(Ms(1000));
  cr_assert(relay->accepted() == 2);
  cr_assert(Call(*client, "/", Ms(200)).Wait().response.ok());
}

}  // namespace greengage
