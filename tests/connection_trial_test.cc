#include "greengage/transport/connection_trial.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "greengage/transport/http_server.h"
#include "tests/harness/endless_server.h"
#include "tests/harness/free_port.h"
#include "tests/harness/io_threads.h"
#include "tests/harness/scripted_server.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

TrialResult Try(IoThreads& io, const Endpoint& server) {
  const auto ended = std::make_shared<std::promise<TrialResult>>();
  TryServer(io.context(), server, "/healthz", {Ms(300), Ms(300)},
            [ended](TrialResult result) { ended->set_value(result); });
  return ended->get_future().get();
}

}  // namespace

Test(ConnectionTrial, AnswerOfAnyStatusShowsThatTheServerIsReached) {
  IoThreads io(2);
  std::promise<std::string> path;
  const auto server = *HttpServer::Listen(
      io.context(), {"127.0.0.1", 0}, {},
      [&path](const HttpRequest& request,
              const std::shared_ptr<HttpExchange>& exchange) {
        path.set_value(request.path);
        exchange->Reply(HttpResponse{.status = 503});
      });
  cr_assert(Try(io, server->endpoint()) == TrialResult::kAnswered);
  cr_assert(path.get_future().get() == "/healthz");
}

// Guards against a cut that stays unnoticed since connections open all the same
// and are reset when they are used.
Test(ConnectionTrial, ConnectionThatEndsWithoutAnAnswerIsNoWay) {
  IoThreads io(2);
  const auto server = *HttpServer::Listen(
      io.context(), {"127.0.0.1", 0}, {},
      [](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) {
        exchange->Abort();
      });
  cr_assert(Try(io, server->endpoint()) == TrialResult::kUnreachable);
  cr_assert(Try(io, {"127.0.0.1", FreePort()}) == TrialResult::kUnreachable);
  const auto garbage =
      ScriptedServer::Start(io.context(), "no answer at all", false);
  cr_assert(Try(io, garbage->endpoint()) == TrialResult::kUnreachable);
}

Test(ConnectionTrial, OpenConnectionWithoutAnAnswerIsSilent) {
  IoThreads io(2);
  const auto server = EndlessServer::Start(io.context(), {"", "", 0});
  cr_assert(Try(io, server->endpoint()) == TrialResult::kSilent);
}

// The process was suspended while the connection opened.
Test(ConnectionTrial, AProcessThatWasSuspendedStillFindsTheServer) {
  IoThreads io(2);
  const auto server = *HttpServer::Listen(
      io.context(), {"127.0.0.1", 0}, {},
      [](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) {
        exchange->Reply(HttpResponse{});
      });
  boost::asio::io_context suspended;
  std::optional<TrialResult> ended;
  TryServer(suspended, server->endpoint(), "/healthz", {Ms(50), Ms(5000)},
            [&ended](TrialResult result) { ended = result; });
  std::this_thread::sleep_for(Ms(200));
  suspended.run();
  cr_assert(ended == TrialResult::kAnswered, "result %d",
            ended ? static_cast<int>(*ended) : -1);
}

}  // namespace greengage
