// Experiments on how a configuration version spreads between instances.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "greengage/coordination/watcher_set.h"
#include "tools/bench/datagram_fake.h"
#include "tools/bench/experiment.h"

namespace greengage::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kMostSecondsUntilHeard = 7;
constexpr double kLoss = 0.3;
constexpr seconds kWarmUp{8};
constexpr seconds kHorizon{10};
constexpr size_t kHeaderBytes = 28;  // Of UDP and IP.
constexpr size_t kChanges = 5;
// Fetching a version from a peer, and once more after a lost packet.
constexpr milliseconds kFetchTime{60};
constexpr milliseconds kRetransmissionTime{200};

constexpr size_t kSizes[] = {10, 100, 300, 940};

// How a version goes from instance to instance.
enum class SpreadMethod : uint8_t {
  kPlainPush,            // One round of gossip by each instance.
  kPush,                 // Rounds of gossip, and nothing else.
  kPushWithAntiEntropy,  // The product's: gossip, probes and digests.
  kPrimarySecondary,     // As kPush, among the watchers first.
};

// What the hooks of one run share.
struct SpreadState {
  std::set<std::string> primaries;
  std::vector<size_t> copies;  // Of the version, heard by each instance.
};

std::vector<const Instance*> ChooseAmong(
    const MemberMap& members,
    size_t count,
    std::mt19937_64& random,
    const std::function<bool(const Instance&)>& eligible) {
  std::vector<const Instance*> candidates;
  for (const Instance* member : members.present()) {
    if (eligible(*member)) {
      candidates.push_back(member);
    }
  }
  std::shuffle(candidates.begin(), candidates.end(), random);
  candidates.resize(std::min(count, candidates.size()));
  return candidates;
}

// Primaries send to primaries until they have heard a second copy, and to
// secondaries from then on; secondaries send to secondaries (Frey et al.,
// "Differentiated consistency for worldwide gossips", algorithm 2).
MemberChooser PrimarySecondary(const std::shared_ptr<SpreadState>& state,
                               size_t at) {
  return [state, at](const MemberMap& members, size_t count,
                     std::mt19937_64& random) {
    const std::string id = DatagramFake::MakeInstance(at, 1).id;
    const bool to_primaries =
        state->primaries.contains(id) && state->copies[at] < 2;
    return ChooseAmong(members, count, random, [&](const Instance& member) {
      return state->primaries.contains(member.id) == to_primaries;
    });
  };
}

std::set<std::string> AllWatchers(const DatagramFakeOptions& options) {
  MemberTable table;
  for (size_t i = 0; i < options.instances; ++i) {
    table.members.push_back(
        DatagramFake::MakeInstance(i, options.data_centres));
  }
  std::set<std::string> watchers;
  for (size_t i = 0; i < options.data_centres; ++i) {
    for (const Instance* watcher : Watchers(table, "dc-" + std::to_string(i))) {
      watchers.insert(watcher->id);
    }
  }
  return watchers;
}

struct SpreadResult {
  double worst_seconds = 0;
  double reached_percent = 0;
  double bytes_per_change = 0;  // Gossip that one instance sends.
};

class SpreadRun {
 public:
  SpreadRun(SpreadMethod method, size_t instances, uint64_t seed)
      : method_(method) {
    DatagramFakeOptions options;
    options.instances = instances;
    options.seed = seed;
    options.loss = kLoss;
    state_->copies.resize(instances);
    state_->primaries = AllWatchers(options);
    Configure(options);
    fake_ = std::make_unique<DatagramFake>(options);
    Connect();
  }

  SpreadResult Run() {
    fake_->Run(kWarmUp);
    SpreadResult result;
    for (uint64_t version = 1; version <= kChanges; ++version) {
      const uint64_t before = gossip_bytes_;
      result.worst_seconds = std::max(result.worst_seconds, Spread(version));
      result.reached_percent += 100.0 * static_cast<double>(reached_) /
                                static_cast<double>(fake_->size() * kChanges);
      result.bytes_per_change += static_cast<double>(gossip_bytes_ - before) /
                                 static_cast<double>(fake_->size() * kChanges);
    }
    return result;
  }

 private:
  void Configure(DatagramFakeOptions& options) {
    if (method_ == SpreadMethod::kPlainPush) {
      options.membership.dissemination_rounds_factor = 0.01;
    }
    if (method_ == SpreadMethod::kPrimarySecondary) {
      options.customize_membership =
          [state = state_](size_t at, MembershipOptions& changed) {
            changed.choose_gossip_targets = PrimarySecondary(state, at);
          };
    }
  }

  void Connect() {
    fake_->OnSend([this](Datagram& datagram) {
      if (datagram.kind == DatagramKind::kGossip) {
        gossip_bytes_ += EncodeDatagram(datagram).size() + kHeaderBytes;
      } else if (method_ != SpreadMethod::kPushWithAntiEntropy) {
        datagram.configuration_version = 0;
      }
    });
    fake_->OnDelivery([this](size_t at, const Datagram& datagram) {
      if (datagram.kind == DatagramKind::kGossip &&
          datagram.configuration_version == version_) {
        ++state_->copies[at];
      }
    });
    fake_->OnVersion([this](size_t at, const VersionAnnouncement& heard,
                            TimePoint now) {
      if (fetching_[at] < heard.version) {
        fetching_[at] = heard.version;
        const bool lost = std::bernoulli_distribution(kLoss)(random_);
        fake_->At(
            now + kFetchTime + (lost ? kRetransmissionTime : milliseconds(0)),
            [this, at, version = heard.version] { Activate(at, version); });
      }
    });
    fetching_.resize(fake_->size());
  }

  void Activate(size_t at, uint64_t version) {
    fake_->at(at).SetConfigurationVersion(version);
    if (version == version_) {
      ++reached_;
      last_ = fake_->now();
    }
  }

  // The two watchers of one data centre hear it; the others are cut off from
  // the platform. Gives the seconds until the last, or the horizon.
  double Spread(uint64_t version) {
    version_ = version;
    reached_ = 0;
    std::fill(state_->copies.begin(), state_->copies.end(), 0);
    const TimePoint start = fake_->now();
    for (size_t i = 0; i < fake_->size(); ++i) {
      const Instance& instance = fake_->at(i).self();
      if (instance.data_centre == "dc-0" &&
          state_->primaries.contains(instance.id)) {
        fetching_[i] = version;
        Activate(i, version);
      }
    }
    fake_->Run(kHorizon);
    const bool all = reached_ == fake_->size();
    const Duration time = all ? last_ - start : Duration(kHorizon);
    return std::chrono::duration<double>(time).count();
  }

  const SpreadMethod method_;
  std::shared_ptr<SpreadState> state_ = std::make_shared<SpreadState>();
  std::unique_ptr<DatagramFake> fake_;
  std::mt19937_64 random_{1};
  std::vector<uint64_t> fetching_;
  uint64_t version_ = 0;
  uint64_t gossip_bytes_ = 0;
  size_t reached_ = 0;
  TimePoint last_;
};

void Compare(size_t size,
             const std::string& name,
             const SpreadResult& baseline,
             const SpreadResult& policy,
             Measurements* out) {
  const std::string shape = std::to_string(size) + " instances";
  out->push_back(
      {shape, "in force at the last, " + name, "s", baseline.worst_seconds,
       policy.worst_seconds,
       Bound{BoundOn::kPolicy, BoundKind::kAtMost, kMostSecondsUntilHeard}});
  out->push_back({shape, "reached, " + name, "%", baseline.reached_percent,
                  policy.reached_percent,
                  Bound{BoundOn::kPolicy, BoundKind::kAtLeast, 100}});
  out->push_back({shape, "gossip per change, " + name, "B",
                  baseline.bytes_per_change, policy.bytes_per_change,
                  std::nullopt});
}

Measurements RunSpreading(uint64_t seed) {
  Measurements measurements;
  for (const size_t size : kSizes) {
    const auto result = [&](SpreadMethod method) {
      return SpreadRun(method, size, seed).Run();
    };
    const SpreadResult policy = result(SpreadMethod::kPushWithAntiEntropy);
    Compare(size, "against plain push", result(SpreadMethod::kPlainPush),
            policy, &measurements);
    Compare(size, "against push", result(SpreadMethod::kPush), policy,
            &measurements);
    Compare(size, "against primaries first",
            result(SpreadMethod::kPrimarySecondary), policy, &measurements);
  }
  return measurements;
}

const Registration kRegistration(
    {.name = "spreading",
     .summary = "A configuration version among 10 to 940 instances with 30 % "
                "of datagrams lost, against push and primaries first",
     .run = RunSpreading});

}  // namespace

}  // namespace greengage::bench
