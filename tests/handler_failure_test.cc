// Handlers that throw. Each must end its own exchange only.
#include <boost/asio/post.hpp>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "greengage/transport/datagram_socket.h"
#include "greengage/transport/guard.h"
#include "greengage/transport/http_client.h"
#include "greengage/transport/http_server.h"
#include "greengage/transport/list_watcher.h"
#include "greengage/transport/peer_link.h"
#include "tests/harness/io_threads.h"
#include "tests/harness/peer_call.h"
#include "tests/harness/raw_server.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

constexpr std::chrono::seconds kTimeout{5};

Endpoint AnyPort() {
  return {"127.0.0.1", 0};
}

[[noreturn]] void Throw() {
  throw std::runtime_error("failure of a test");
}

struct NotAnException {};

// A client of a server that answers each request with "ok".
class Caller {
 public:
  Caller()
      : server_(RawServer::Start(io_.context(),
                                 [](const RawRequest&) {
                                   return RawReply{HttpBytes(200, "", "ok")};
                                 })),
        client_(HttpClient::Create(io_.context(), server_->endpoint(), {})) {}

  // Returns the result, or nothing if the call did not end in time. Throws
  // behind it if `throws`.
  std::optional<HttpCallResult> Call(HttpCall call, bool throws = false) {
    const auto ended = std::make_shared<std::promise<HttpCallResult>>();
    call.deadline = std::chrono::steady_clock::now() + 2 * kTimeout;
    client_->Start(std::move(call), [ended, throws](HttpCallResult result) {
      ended->set_value(std::move(result));
      if (throws) {
        Throw();
      }
    });
    auto future = ended->get_future();
    if (future.wait_for(kTimeout) != std::future_status::ready) {
      return std::nullopt;
    }
    return future.get();
  }

  bool Serves() {
    const auto result = Call({.target = "/"});
    return result && result->response && result->response->body == "ok";
  }

 private:
  IoThreads io_{1};
  std::shared_ptr<RawServer> server_;
  std::shared_ptr<HttpClient> client_;
};

}  // namespace

Test(HandlerFailure, InACheckOfAnAnswerEndsTheCall) {
  Caller caller;
  HttpCall call{.target = "/"};
  call.check = [](const HttpResponse&) -> HttpResponseMatch { Throw(); };
  const auto result = caller.Call(std::move(call));
  cr_assert(result && !result->response && result->sent);
  cr_assert(caller.Serves());
}

Test(HandlerFailure, BeforeACallIsSentEndsItUnsent) {
  Caller caller;
  HttpCall call{.target = "/"};
  call.before_send = [](TimePoint, HeaderList&) -> std::optional<Failure> {
    Throw();
  };
  const auto result = caller.Call(std::move(call));
  cr_assert(result && !result->response && !result->sent);
  cr_assert(caller.Serves());
}

Test(HandlerFailure, AtTheEndOfACallLeavesTheClientUsable) {
  Caller caller;
  cr_assert(caller.Call({.target = "/"}, true));
  cr_assert(caller.Serves());
}

// Beast throws for a header of this length.
Test(HandlerFailure, WhileACallIsWrittenEndsItUnsent) {
  Caller caller;
  HttpCall call{.target = "/"};
  call.headers = {{"X", std::string(70000, 'x')}};
  const auto result = caller.Call(std::move(call));
  cr_assert(result && !result->response && !result->sent);
  cr_assert(caller.Serves());
}

Test(HandlerFailure, OfARequestIsAnsweredWhateverItThrows) {
  IoThreads io(1);
  const auto server =
      *HttpServer::Listen(io.context(), AnyPort(), {},
                          [](const HttpRequest& request,
                             const std::shared_ptr<HttpExchange>& exchange) {
                            if (request.path == "/exception") {
                              Throw();
                            }
                            if (request.path == "/other") {
                              throw NotAnException();
                            }
                            exchange->Reply({});
                          });
  for (const auto& [target, status] :
       {std::pair("/exception", 500U), {"/other", 500U}, {"/", 200U}}) {
    const auto answer =
        CallAndWait(server->endpoint(), {.target = target}, kTimeout);
    cr_assert(answer && answer->status == status, "%s", target);
  }
  cr_assert(HandlerFailures() == 2);
}

Test(HandlerFailure, OfADatagramDoesNotEndTheReception) {
  IoThreads io(1);
  std::promise<std::string> received;
  const auto socket = *DatagramSocket::Bind(
      io.context(), AnyPort(),
      [&](const Endpoint& /*sender*/, const std::string& datagram) {
        if (datagram == "bad") {
          Throw();
        }
        received.set_value(datagram);
      });
  socket->Send(socket->endpoint(), "bad");
  socket->Send(socket->endpoint(), "good");
  auto future = received.get_future();
  cr_assert(future.wait_for(kTimeout) == std::future_status::ready);
  cr_assert(future.get() == "good");
}

Test(HandlerFailure, OfAPeerCallEndsItsStreamOnly) {
  IoThreads io(1);
  std::shared_ptr<PeerStream> held;
  const auto server =
      *PeerServer::Listen(io.context(), AnyPort(), {},
                          [&held](const std::string& path, std::string message,
                                  const std::shared_ptr<PeerStream>& stream) {
                            if (path == "/throw") {
                              Throw();
                            }
                            if (path == "/hold") {
                              held = stream;
                              return;
                            }
                            held->Send(std::move(message));
                            held->Finish();
                            stream->Finish();
                          });
  const auto client = PeerClient::Create(io.context(), server->endpoint(), {});
  PeerCall before(*client, "/hold", "m");
  PeerCall failed(*client, "/throw", "m");
  const PeerStreamResult end = failed.Wait();
  cr_assert(end.failure && !end.not_run);
  PeerCall after(*client, "/release", "answer");
  cr_assert(!after.Wait().failure);
  cr_assert(!before.Wait().failure);
  cr_assert(before.answers().at(0) == "answer");
}

Test(HandlerFailure, OfAnAnswerOfTheStoreMakesAWatcherListAgain) {
  using Watcher = ListWatcher<int>;
  for (const bool in_snapshot : {true, false}) {
    boost::asio::io_context context;
    size_t listings = 0;
    size_t failing = 0;
    Watcher::PageCallback pending;
    Watcher::Hooks hooks;
    hooks.list = [&](const std::string&, auto done) {
      ++listings;
      pending = std::move(done);
    };
    hooks.watch = [&](uint64_t, Ms, auto done) {
      pending = std::move(done);
      return [] {};
    };
    hooks.on_snapshot = [in_snapshot](auto, StoreRevision) {
      if (in_snapshot) {
        Throw();
      }
    };
    hooks.on_changes = [](auto, StoreRevision) { Throw(); };
    hooks.on_failing = [&failing](const Failure&) { ++failing; };
    hooks.on_recovered = [] {};
    const auto watcher = std::make_shared<Watcher>(
        context,
        ListWatchOptions{.watch_delay = Ms(0), .backoff = {Ms(1), Ms(4)}},
        std::move(hooks));
    watcher->Start();
    for (int answers = in_snapshot ? 1 : 2; answers > 0; --answers) {
      std::exchange(pending, nullptr)(StorePage<int>{{1, 7}, false, {}});
      while (!pending && context.run_one() > 0) {
      }
      context.restart();
    }
    cr_assert(listings == 2 && failing == 1, "%zu listings", listings);
  }
}

}  // namespace greengage
