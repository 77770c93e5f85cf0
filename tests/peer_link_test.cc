#include "greengage/transport/peer_link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <deque>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "tests/harness/io_threads.h"
#include "tests/harness/peer_call.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

constexpr size_t kThreads = 3;
Endpoint AnyPort() {
  return {"127.0.0.1", 0};
}

// A server with one operation for each kind of stream end, and its client.
class Peers {
 public:
  explicit Peers(PeerLimits limits = {})
      : server_(*PeerServer::Listen(
            io_.context(),
            AnyPort(),
            limits,
            [this](const std::string& path,
                   std::string message,
                   const std::shared_ptr<PeerStream>& stream) {
              Handle(path, std::move(message), stream);
            })),
        client_(PeerClient::Create(io_.context(), server_->endpoint(), {})) {}

  PeerServer& server() { return *server_; }
  PeerClient& client() { return *client_; }
  IoThreads& io() { return io_; }

  std::shared_ptr<PeerStream> TakeHeld() { return held_.get_future().get(); }
  bool Cancelled(Ms time) {
    return cancelled_.get_future().wait_for(time) == std::future_status::ready;
  }

 private:
  void Handle(const std::string& path,
              std::string message,
              const std::shared_ptr<PeerStream>& stream) {
    if (path == "/echo") {
      stream->Send(message);
      stream->Send(std::move(message));
      stream->Finish();
    } else if (path == "/refuse") {
      stream->Refuse();
    } else if (path == "/refuse_late") {
      stream->Send("part");
      stream->Refuse();
    } else if (path == "/hold") {
      stream->OnCancelled([this] { cancelled_.set_value(); });
      held_.set_value(stream);
    }
  }

  std::promise<std::shared_ptr<PeerStream>> held_;
  std::promise<void> cancelled_;
  IoThreads io_{kThreads};
  std::shared_ptr<PeerServer> server_;
  std::shared_ptr<PeerClient> client_;
};

}  // namespace

Test(PeerLink, CarriesMessagesOfAllSizes) {
  Peers peers;
  for (const size_t size : {0u, 1u, 4096u, 2u * 1024 * 1024}) {
    const std::string message(size, 'x');
    PeerCall call(peers.client(), "/echo", message);
    cr_assert(!call.Wait().failure);
    cr_assert(call.answers().size() == 2);
    cr_assert(call.answers()[0] == message && call.answers()[1] == message);
  }
}

Test(PeerLink, DeliversEachResponseToItsStream) {
  Peers peers;
  std::deque<PeerCall> calls;
  for (int i = 0; i < 3000; ++i) {
    calls.emplace_back(peers.client(), "/echo", std::to_string(i));
  }
  for (int i = 0; i < 3000; ++i) {
    cr_assert(!calls[i].Wait().failure);
    cr_assert(calls[i].answers().at(1) == std::to_string(i));
  }
}

Test(PeerLink, RefusedStreamIsNotRunUnlessTheResponseHasStarted) {
  Peers peers;
  const PeerStreamResult refused =
      PeerCall(peers.client(), "/refuse", "m").Wait();
  cr_assert(refused.failure && refused.not_run);
  const PeerStreamResult late =
      PeerCall(peers.client(), "/refuse_late", "m").Wait();
  cr_assert(late.failure && !late.not_run);
}

Test(PeerLink, StreamReleasedByItsHandlerMayHaveRun) {
  Peers peers;
  const PeerStreamResult end = PeerCall(peers.client(), "/unknown", "m").Wait();
  cr_assert(end.failure && !end.not_run);
}

Test(PeerLink, StreamToAnUnreachablePeerIsNotRun) {
  IoThreads io(1);
  const auto client =
      PeerClient::Create(io.context(), {"127.0.0.1", 1}, PeerLimits{});
  const PeerStreamResult end = PeerCall(*client, "/echo", "m").Wait();
  cr_assert(end.failure->kind == FailureKind::kConnectFailed && end.not_run);
}

Test(PeerLink, EveryStreamEndsWhileConnectionsFail) {
  IoThreads io(3);
  const auto client =
      PeerClient::Create(io.context(), {"127.0.0.1", 1}, PeerLimits{});
  for (int i = 0; i < 5000; ++i) {
    cr_assert(PeerCall(*client, "/echo", "m").Wait().not_run);
  }
}

Test(PeerLink, CancelNotifiesTheHandler) {
  Peers peers;
  PeerCall call(peers.client(), "/hold", "m");
  const auto stream = peers.TakeHeld();
  peers.client().Cancel(call.id());
  const PeerStreamResult end = call.Wait();
  cr_assert(end.failure->kind == FailureKind::kCancelled && !end.not_run);
  cr_assert(peers.Cancelled(Ms(5000)));
}

Test(PeerLink, DeadlineEndsTheStream) {
  Peers peers;
  PeerCall call(peers.client(), "/hold", "m", Ms(50));
  const auto stream = peers.TakeHeld();
  const PeerStreamResult end = call.Wait();
  cr_assert(end.failure->kind == FailureKind::kTimedOut && !end.not_run);
  cr_assert(peers.Cancelled(Ms(5000)));
}

Test(PeerLink, MessagesOverTheLimitOfEitherSideAreRejected) {
  Peers peers(PeerLimits{.message_bytes = 1000});
  const PeerStreamResult server_limit =
      PeerCall(peers.client(), "/echo", std::string(1001, 'x')).Wait();
  cr_assert(server_limit.failure && server_limit.not_run);

  const auto client = PeerClient::Create(
      peers.io().context(), peers.server().endpoint(), {.message_bytes = 100});
  const PeerStreamResult own_limit =
      PeerCall(*client, "/echo", std::string(101, 'x')).Wait();
  cr_assert(own_limit.failure->kind == FailureKind::kTooLarge);
  cr_assert(own_limit.not_run);
}

Test(PeerLink, StopFinishesOpenStreamsAndRefusesLaterOnes) {
  Peers peers;
  PeerCall held(peers.client(), "/hold", "m");
  const auto stream = peers.TakeHeld();
  std::promise<void> stopped;
  peers.server().Stop([&stopped] { stopped.set_value(); });
  // Later streams either complete before the GOAWAY or are provably not
  // executed.
  for (int i = 0; i < 200; ++i) {
    const PeerStreamResult late = PeerCall(peers.client(), "/echo", "m").Wait();
    cr_assert(!late.failure || late.not_run);
  }
  cr_assert(!held.EndsWithin(Ms(0)));
  stream->Send("answer");
  stream->Finish();
  cr_assert(!held.Wait().failure);
  cr_assert(held.answers().at(0) == "answer");
  cr_assert(stopped.get_future().wait_for(Ms(5000)) ==
            std::future_status::ready);
}

// Guards against reading a stream that has ended (seen by a memory checker).
Test(PeerLink, StreamThatThePeerNoLongerTakesEndsOnceAsNotRun) {
  using boost::asio::ip::tcp;
  using std::string_view_literals::operator""sv;
  // SETTINGS_MAX_CONCURRENT_STREAMS is 1.
  constexpr auto kSettings =
      "\x00\x00\x06\x04\x00\x00\x00\x00\x00"
      "\x00\x03\x00\x00\x00\x01"sv;
  // GOAWAY after stream 1, and RST_STREAM of stream 1 with CANCEL.
  constexpr auto kEnd =
      "\x00\x00\x08\x07\x00\x00\x00\x00\x00"
      "\x00\x00\x00\x01\x00\x00\x00\x00"
      "\x00\x00\x04\x03\x00\x00\x00\x00\x01"
      "\x00\x00\x00\x08"sv;
  IoThreads io(1);
  boost::asio::io_context blocking;
  tcp::acceptor acceptor(blocking, {tcp::v4(), 0});
  const auto client = PeerClient::Create(
      io.context(), {"127.0.0.1", acceptor.local_endpoint().port()}, {});
  PeerCall open(*client, "/open", "m");
  tcp::socket socket = acceptor.accept();
  boost::asio::write(socket, boost::asio::buffer(kSettings));
  std::this_thread::sleep_for(Ms(100));
  PeerCall queued(*client, "/queued", "m");
  std::this_thread::sleep_for(Ms(100));
  boost::asio::write(socket, boost::asio::buffer(kEnd));
  const PeerStreamResult end = queued.Wait();
  cr_assert(end.failure->kind == FailureKind::kShuttingDown && end.not_run);
  cr_assert(!open.Wait().not_run);
}

Test(PeerLink, CloseEndsOpenStreams) {
  Peers peers;
  PeerCall call(peers.client(), "/hold", "m");
  const auto stream = peers.TakeHeld();
  peers.client().Close();
  const PeerStreamResult end = call.Wait();
  cr_assert(end.failure->kind == FailureKind::kConnectionClosed);
  cr_assert(!end.not_run);
  cr_assert(PeerCall(peers.client(), "/echo", "m").Wait().not_run);
}

Test(PeerLink, ReportsAnAddressInUse) {
  Peers peers;
  const auto second = PeerServer::Listen(
      peers.io().context(), peers.server().endpoint(), {}, nullptr);
  cr_assert(second.last_reason().kind == FailureKind::kAddressInUse);
}

}  // namespace greengage
