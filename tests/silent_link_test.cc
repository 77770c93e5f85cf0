#include <chrono>
#include <memory>
#include <string>

#include "greengage/transport/peer_link.h"
#include "tests/harness/io_threads.h"
#include "tests/harness/peer_call.h"
#include "tests/harness/tcp_relay.h"
#include "transport/silence_monitor.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

constexpr Ms kTimeout{300};
constexpr Ms kReplacedWithin{1000};

void Echo(const std::string& path,
          std::string message,
          const std::shared_ptr<PeerStream>& stream) {
  if (path == "/echo") {
    stream->Send(std::move(message));
    stream->Finish();
  }
  if (path == "/slow") {
    // Held by its own hook, so the stream stays open without an answer.
    stream->OnCancelled([stream] {});
  }
}

}  // namespace

Test(SilenceMonitor, PingsThenReplacesWithoutProgress) {
  const TimePoint start{};
  SilenceMonitor monitor(kTimeout, start);
  cr_assert(monitor.Check(start + Ms(299)) == SilenceAction::kWait);
  cr_assert(monitor.Check(start + Ms(300)) == SilenceAction::kPing);
  cr_assert(monitor.Check(start + Ms(599)) == SilenceAction::kWait);
  cr_assert(monitor.Check(start + Ms(600)) == SilenceAction::kReplace);
}

Test(SilenceMonitor, ProgressAnswersThePing) {
  const TimePoint start{};
  SilenceMonitor monitor(kTimeout, start);
  cr_assert(monitor.Check(start + Ms(300)) == SilenceAction::kPing);
  monitor.OnProgress(start + Ms(310));
  cr_assert(monitor.Check(start + Ms(600)) == SilenceAction::kWait);
  cr_assert(monitor.Check(start + Ms(610)) == SilenceAction::kPing);
}

Test(SilentLink, IsReplacedWithinASecondWhileNewConnectionsWork) {
  IoThreads io(3);
  const auto server =
      *PeerServer::Listen(io.context(), {"127.0.0.1", 0}, {}, Echo);
  const auto relay = TcpRelay::Start(io.context(), server->endpoint());
  const auto client = PeerClient::Create(io.context(), relay->endpoint(),
                                         {.silence_timeout = kTimeout});
  cr_assert(!PeerCall(*client, "/echo", "before").Wait().failure);
  relay->SilenceConnections();
  PeerCall stalled(*client, "/echo", "stalled");
  cr_assert(stalled.EndsWithin(kReplacedWithin));
  const PeerStreamResult end = stalled.Wait();
  cr_assert(end.failure->kind == FailureKind::kSilentConnection);
  cr_assert(!end.not_run);
  PeerCall after(*client, "/echo", "after");
  cr_assert(after.EndsWithin(kReplacedWithin));
  cr_assert(!after.Wait().failure);
  cr_assert(relay->accepted() == 2);
}

Test(SilentLink, SlowAnswersDoNotReplaceALivingConnection) {
  IoThreads io(3);
  const auto server =
      *PeerServer::Listen(io.context(), {"127.0.0.1", 0}, {}, Echo);
  const auto relay = TcpRelay::Start(io.context(), server->endpoint());
  const auto client = PeerClient::Create(io.context(), relay->endpoint(),
                                         {.silence_timeout = Ms(50)});
  PeerCall slow(*client, "/slow", "m", Ms(500));
  cr_assert(slow.Wait().failure->kind == FailureKind::kTimedOut);
  cr_assert(!PeerCall(*client, "/echo", "m").Wait().failure);
  cr_assert(relay->accepted() == 1);
}

}  // namespace greengage
