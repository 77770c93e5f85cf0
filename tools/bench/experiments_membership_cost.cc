// Measures the processor time and memory that membership costs one instance.
#include <malloc.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "tools/bench/datagram_fake.h"
#include "tools/bench/experiment.h"

namespace greengage::bench {

namespace {

using std::chrono::milliseconds;

// Share of one core for all control work.
constexpr double kMaxCorePercent = 1.2;
constexpr size_t kMessages = 20000;
constexpr milliseconds kTickPeriod{100};
constexpr size_t kTicks = 600;
constexpr size_t kTicksPerDigest = 50;
constexpr size_t kDataCentres = 3;

constexpr size_t kSizes[] = {10, 100, 300, 940};

double SecondsOf(const std::function<void()>& work) {
  const auto start = std::chrono::steady_clock::now();
  work();
  const auto end = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(end - start).count();
}

double BytesInUse() {
  return static_cast<double>(mallinfo2().uordblks);
}

// One instance with simulated peers that acknowledge each of its pings.
class LoneInstance {
 public:
  explicit LoneInstance(size_t members, size_t successors, uint64_t seed)
      : membership_(DatagramFake::MakeInstance(0, kDataCentres),
                    Options(successors),
                    seed,
                    now_) {
    Datagram all;
    all.kind = DatagramKind::kMembers;
    all.sender = "introduction";
    for (size_t i = 1; i < members; ++i) {
      all.members.push_back(DatagramFake::MakeInstance(i, kDataCentres));
    }
    membership_.OnDatagram(all, {}, now_);
    digest_ = DigestOfSelf();
  }

  // Runs `ticks` ticks and receives the datagrams that peers send meanwhile.
  void RunTicks(size_t ticks) {
    for (size_t i = 0; i < ticks; ++i) {
      now_ += kTickPeriod;
      Answer(membership_.Tick(now_));
      if (i % 10 == 0) {
        Receive(Ping(1));
        Receive(Ping(2));
      }
      if (i % kTicksPerDigest == 0) {
        Datagram digest = Ping(3);
        digest.kind = DatagramKind::kDigest;
        digest.digest = digest_;
        Receive(digest);
      }
    }
  }

  void ReceivePings(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      Receive(Ping(1));
    }
  }

  void Tick(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      membership_.Tick(now_);
    }
  }

  MemberTablePtr Table() const { return membership_.Table(); }

 private:
  static MembershipOptions Options(size_t successors) {
    MembershipOptions options;
    options.successors = successors;
    return options;
  }

  Datagram Ping(size_t from) {
    Datagram ping;
    ping.sender = DatagramFake::MakeInstance(from, kDataCentres).id;
    ping.sequence = ++sequence_;
    return ping;
  }

  Digest DigestOfSelf() {
    MemberMap members("none");
    const MemberTablePtr table = membership_.Table();
    for (const Instance& member : table->members) {
      members.Put(member, now_);
    }
    return members.digest();
  }

  // Decodes the datagram and encodes the answers, to include the codec's cost.
  void Receive(const Datagram& datagram) {
    const std::string bytes = EncodeDatagram(datagram);
    const Result<Datagram> decoded = DecodeDatagram(bytes);
    Encode(membership_.OnDatagram(*decoded, {}, now_));
  }

  void Answer(const MembershipActions& actions) {
    Encode(actions);
    for (const OutgoingDatagram& outgoing : actions.datagrams) {
      if (outgoing.datagram.kind == DatagramKind::kPing) {
        Datagram ack;
        ack.kind = DatagramKind::kAck;
        ack.sender = outgoing.datagram.target;
        ack.sequence = outgoing.datagram.sequence;
        Receive(ack);
      }
    }
  }

  void Encode(const MembershipActions& actions) {
    for (const OutgoingDatagram& outgoing : actions.datagrams) {
      encoded_bytes_ += EncodeDatagram(outgoing.datagram).size();
    }
  }

  TimePoint now_{std::chrono::hours(1)};
  Membership membership_;
  Digest digest_;
  uint64_t sequence_ = 0;
  size_t encoded_bytes_ = 0;
};

// Returns the used share of a core in percent.
double CoreShare(size_t members, size_t successors, uint64_t seed) {
  LoneInstance instance(members, successors, seed);
  instance.RunTicks(kTicks / 10);
  const double seconds = SecondsOf([&] { instance.RunTicks(kTicks); });
  const double simulated_seconds =
      std::chrono::duration<double>(kTickPeriod * kTicks).count();
  return 100 * seconds / simulated_seconds;
}

void AddSize(size_t size, uint64_t seed, Measurements* out) {
  constexpr size_t kSuccessors = 2;
  const std::string shape = std::to_string(size) + " instances";
  out->push_back(
      {shape, "share of a core, against probing all", "%",
       CoreShare(size, size, seed), CoreShare(size, kSuccessors, seed),
       Bound{BoundOn::kPolicy, BoundKind::kAtMost, kMaxCorePercent}});
  const double before = BytesInUse();
  LoneInstance instance(size, kSuccessors, seed);
  const MemberTablePtr table = instance.Table();
  const double bytes = BytesInUse() - before;
  const auto per_member = static_cast<double>(size);
  out->push_back({shape, "memory per member", "B", bytes / per_member,
                  bytes / per_member, std::nullopt});
  const double ping = SecondsOf([&] { instance.ReceivePings(kMessages); });
  out->push_back({shape, "time per ping received", "us", ping / kMessages * 1e6,
                  ping / kMessages * 1e6, std::nullopt});
  const double tick = SecondsOf([&] { instance.Tick(kMessages); });
  out->push_back({shape, "time per tick", "us", tick / kMessages * 1e6,
                  tick / kMessages * 1e6, std::nullopt});
}

Measurements RunMembershipCost(uint64_t seed) {
  Measurements measurements;
  for (const size_t size : kSizes) {
    AddSize(size, seed, &measurements);
  }
  return measurements;
}

const Registration kRegistration(
    {.name = "membership-cost",
     .summary = "Processor time and memory of membership without the socket, "
                "at 10 to 940 instances",
     .run = RunMembershipCost,
     .wall_clock = true});

}  // namespace

}  // namespace greengage::bench
