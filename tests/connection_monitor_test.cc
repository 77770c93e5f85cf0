#include "greengage/coordination/connection_monitor.h"

#include <chrono>

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;
using Kind = ConnectionMonitor::RequestKind;

TimePoint At(int ms) {
  return TimePoint{} + std::chrono::hours(1) + Ms(ms);
}

bool Replaces(const ConnectionDecision& decision, uint64_t id) {
  return decision.replace == std::vector<uint64_t>{id};
}

}  // namespace

Test(ConnectionMonitor, ReplacesAConnectionWhenAnotherAnswers) {
  ConnectionMonitor monitor;
  monitor.OnOpened(At(0), 1);
  monitor.OnOpened(At(0), 2);
  monitor.OnRequest(At(0), 1, Kind::kCall);
  monitor.OnRequest(At(200), 2, Kind::kCall);
  monitor.OnAnswer(At(210), 2);
  cr_assert(monitor.Decide(At(299)).replace.empty());
  const ConnectionDecision decision = monitor.Decide(At(300));
  cr_assert(Replaces(decision, 1));
  cr_assert(!decision.open_probe_connection);
}

Test(ConnectionMonitor, ProbesOnANewConnectionWhenNoOtherIsInUse) {
  ConnectionMonitor monitor;
  monitor.OnOpened(At(0), 1);
  monitor.OnRequest(At(0), 1, Kind::kCall);
  cr_assert(monitor.next_check() == At(300));
  const ConnectionDecision suspect = monitor.Decide(At(300));
  cr_assert(suspect.open_probe_connection && suspect.replace.empty());
  monitor.OnNewConnectionProbeStarted();
  cr_assert(!monitor.Decide(At(301)).open_probe_connection);
  monitor.OnOpened(At(302), 2);
  monitor.OnRequest(At(302), 2, Kind::kProbe);
  monitor.OnAnswer(At(304), 2);
  monitor.OnNewConnectionProbeEnded();
  cr_assert(Replaces(monitor.Decide(At(304)), 1));
}

Test(ConnectionMonitor, KeepsAllConnectionsOfAnUnresponsiveSearcher) {
  ConnectionMonitor monitor;
  for (uint64_t id = 1; id <= 3; ++id) {
    monitor.OnOpened(At(0), id);
    monitor.OnRequest(At(0), id, Kind::kCall);
  }
  monitor.OnNewConnectionProbeStarted();
  monitor.OnNewConnectionProbeEnded();
  cr_assert(monitor.Decide(At(5000)).replace.empty());
  cr_assert(monitor.Decide(At(5000)).open_probe_connection);
}

Test(ConnectionMonitor, DetectsAnUnresponsiveIdleConnectionWithinASecond) {
  ConnectionMonitor monitor;
  monitor.OnOpened(At(0), 1);
  monitor.OnOpened(At(0), 2);
  cr_assert(monitor.Decide(At(499)).probe.empty());
  cr_assert(monitor.Decide(At(500)).probe == (std::vector<uint64_t>{1, 2}));
  monitor.OnRequest(At(500), 1, Kind::kProbe);
  monitor.OnRequest(At(500), 2, Kind::kProbe);
  monitor.OnAnswer(At(502), 2);
  const ConnectionDecision decision = monitor.Decide(At(800));
  cr_assert(Replaces(decision, 1));
  cr_assert(decision.probe.empty());
}

Test(ConnectionMonitor, ProgressExtendsTheTimeout) {
  ConnectionMonitor monitor;
  monitor.OnOpened(At(0), 1);
  monitor.OnOpened(At(0), 2);
  monitor.OnRequest(At(0), 1, Kind::kCall);
  monitor.OnRequest(At(100), 2, Kind::kCall);
  monitor.OnAnswer(At(110), 2);
  monitor.OnProgress(At(250), 1);
  cr_assert(monitor.Decide(At(400)).replace.empty());
}

Test(ConnectionMonitor, ExtendsTheTimeoutForSlowSearchers) {
  ConnectionMonitor monitor;
  monitor.OnOpened(At(0), 1);
  monitor.OnOpened(At(0), 2);
  monitor.OnRequest(At(0), 2, Kind::kCall);
  monitor.OnAnswer(At(400), 2);
  monitor.OnRequest(At(400), 1, Kind::kCall);
  monitor.OnRequest(At(400), 2, Kind::kCall);
  monitor.OnAnswer(At(500), 2);
  cr_assert(monitor.Decide(At(1999)).replace.empty());
  cr_assert(Replaces(monitor.Decide(At(2000)), 1));
}

}  // namespace greengage
