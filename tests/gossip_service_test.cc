#include "greengage/transport/gossip_service.h"

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/harness/io_threads.h"

#include <criterion/criterion.h>

namespace greengage {

namespace {

constexpr std::chrono::seconds kTimeout{30};

// A GossipService with its dependencies.
class Node {
 public:
  Node(IoThreads& io, const std::string& id, std::vector<Endpoint> seeds)
      : events_(id, 1000, &clock_) {
    GossipOptions options;
    options.self.id = id;
    options.self.gossip = {.host = "127.0.0.1", .port = 0};
    options.seeds = std::move(seeds);
    options.random_seed = options.seeds.size() + 1;
    GossipService::Hooks hooks;
    hooks.on_version = [this](const VersionAnnouncement& announced) {
      version = announced.version;
    };
    auto service = GossipService::Start(io.context(), std::move(options),
                                        &clock_, &events_, std::move(hooks));
    cr_assert(service.ok());
    service_ = *std::move(service);
  }

  GossipService& service() { return *service_; }

  InstanceState StateOf(const std::string& id) const {
    const Instance* found = service_->table()->Find(id);
    return found == nullptr ? InstanceState::kGone : found->state;
  }

  bool Recorded(EventKind kind) const {
    for (const Event& event : events_.Read({}, std::nullopt, 1000)) {
      if (event.kind == kind) {
        return true;
      }
    }
    return false;
  }

  void Stop() {
    std::promise<void> stopped;
    service_->Stop([&] { stopped.set_value(); });
    stopped.get_future().wait();
  }

  std::atomic<uint64_t> version{0};

 private:
  HybridClock clock_;
  EventLog events_;
  std::shared_ptr<GossipService> service_;
};

template <typename Condition>
bool Eventually(Condition condition) {
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (!condition() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return condition();
}

}  // namespace

Test(GossipService, DetectsMembersVersionsAndDepartures) {
  IoThreads io(2);
  Node a(io, "a", {});
  Node b(io, "b", {a.service().endpoint()});
  Node c(io, "c", {a.service().endpoint()});
  cr_assert(Eventually([&] {
    return b.StateOf("c") == InstanceState::kLive &&
           c.StateOf("b") == InstanceState::kLive;
  }));
  cr_assert(a.Recorded(EventKind::kInstanceJoined));
  b.service().SetConfigurationVersion(7);
  cr_assert(Eventually([&] { return a.version == 7 && c.version == 7; }));
  cr_assert(a.Recorded(EventKind::kConfigurationLearned));
  c.service().Leave();
  cr_assert(
      Eventually([&] { return a.StateOf("c") == InstanceState::kLeaving; }));
  c.Stop();
  cr_assert(Eventually([&] { return a.StateOf("c") == InstanceState::kGone; }));
  cr_assert(a.service().counters().bytes_sent.value() > 0);
  cr_assert(a.service().counters().datagrams_malformed.value() == 0);
  a.Stop();
  b.Stop();
}

Test(GossipService, MembersRejoinAfterAPartition) {
  IoThreads io(2);
  Node a(io, "a", {});
  Node b(io, "b", {a.service().endpoint()});
  const auto joined = [&] {
    return a.StateOf("b") == InstanceState::kLive &&
           b.StateOf("a") == InstanceState::kLive;
  };
  cr_assert(Eventually(joined));
  a.service().faults().SetBlockedEndpoints({b.service().endpoint()});
  cr_assert(Eventually([&] {
    return a.StateOf("b") == InstanceState::kGone &&
           b.StateOf("a") == InstanceState::kGone;
  }));
  a.service().faults().SetBlockedEndpoints({});
  cr_assert(Eventually(joined));
  a.Stop();
  b.Stop();
}

Test(GossipService, ReportsAPortInUse) {
  IoThreads io(1);
  Node a(io, "a", {});
  HybridClock clock;
  EventLog events("b", 10, &clock);
  GossipOptions options;
  options.self.id = "b";
  options.self.gossip = a.service().endpoint();
  const auto second =
      GossipService::Start(io.context(), options, &clock, &events, {});
  cr_assert(!second.ok());
  cr_assert(second.last_reason().kind == FailureKind::kAddressInUse);
  a.Stop();
}

Test(DatagramFaults, DropsTheGivenFractionAndAllDatagramsOfCutOffPeers) {
  DatagramFaults faults;
  const Endpoint peer{.host = "127.0.0.1", .port = 1};
  cr_assert(!faults.ShouldDropTo(peer));
  faults.SetLoss(0.3, 1);
  size_t lost = 0;
  for (int i = 0; i < 10000; ++i) {
    lost += faults.ShouldDropTo(peer) ? 1 : 0;
  }
  cr_assert(lost > 2800 && lost < 3200);
  cr_assert(!faults.ShouldDropFrom(peer));
  faults.SetLoss(0, 1);
  faults.SetBlockedEndpoints({peer});
  cr_assert(faults.ShouldDropTo(peer) && faults.ShouldDropFrom(peer));
}

}  // namespace greengage
