// Many Membership objects that pass typed datagrams to each other in virtual
// time, with latency, loss, pauses and cuts.
#ifndef GREENGAGE_TOOLS_BENCH_DATAGRAM_FAKE_H_
#define GREENGAGE_TOOLS_BENCH_DATAGRAM_FAKE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "greengage/coordination/membership.h"
#include "greengage/protocol/datagram_codec.h"

namespace greengage {

struct DatagramFakeOptions {
  size_t instances = 10;
  size_t data_centres = 3;
  uint64_t seed = 1;
  double loss = 0;  // Share of datagrams dropped.
  std::chrono::milliseconds latency{20};
  std::chrono::milliseconds tick_period{100};
  bool starts_connected = true;  // All know all others from the start.
  MembershipOptions membership = {};
  // Changes the options of single instances.
  std::function<void(size_t at, MembershipOptions&)> customize_membership = {};
};

class DatagramFake {
 public:
  using ChangeHook =
      std::function<void(size_t at, const MembershipChange&, TimePoint now)>;
  using VersionHook =
      std::function<void(size_t at, const VersionAnnouncement&, TimePoint now)>;
  using CutHook = std::function<bool(size_t from, size_t to)>;
  using EditHook = std::function<void(Datagram&)>;
  using DeliveryHook = std::function<void(size_t at, const Datagram&)>;

  explicit DatagramFake(DatagramFakeOptions options)
      : options_(std::move(options)), random_(options_.seed) {
    for (size_t i = 0; i < options_.instances; ++i) {
      nodes_.emplace_back();
      Start(i);
    }
    if (options_.starts_connected) {
      ConnectAll();
    }
  }

  static Instance MakeInstance(size_t index, size_t data_centres) {
    const std::string host = "10.0." + std::to_string(index / 250) + "." +
                             std::to_string(index % 250);
    return {.id = "entry-" + std::to_string(1000 + index),
            .data_centre = "dc-" + std::to_string(index % data_centres),
            .gossip = {.host = host, .port = 7000},
            .peer = {.host = host, .port = 7001},
            .http = {.host = host, .port = 7002}};
  }

  // (Re)starts an instance with an empty table and the first as its seed.
  void Start(size_t index) {
    Node& node = nodes_[index];
    Instance self = MakeInstance(index, options_.data_centres);
    self.incarnation =
        1000 + now_.time_since_epoch() / std::chrono::milliseconds(1);
    MembershipOptions membership = options_.membership;
    if (options_.customize_membership) {
      options_.customize_membership(index, membership);
    }
    node.membership =
        std::make_unique<Membership>(self, membership, random_(), now_);
    node.membership->SetSeeds({MakeInstance(0, 1).gossip});
    node.alive = true;
    ++node.generation;
    const auto phase = std::chrono::microseconds(
        random_() % std::chrono::microseconds(options_.tick_period).count());
    Push({.time = now_ + phase, .node = index, .generation = node.generation});
  }

  void Kill(size_t index) { nodes_[index].alive = false; }

  void Pause(size_t index, Duration length) {
    nodes_[index].paused_until = now_ + length;
  }

  void SetLoss(double loss) { options_.loss = loss; }
  void SetCut(CutHook cut) { cut_ = std::move(cut); }
  void OnChange(ChangeHook hook) { change_hook_ = std::move(hook); }
  void OnVersion(VersionHook hook) { version_hook_ = std::move(hook); }

  // Runs before each datagram is sent, and after each has arrived.
  void OnSend(EditHook hook) { edit_hook_ = std::move(hook); }
  void OnDelivery(DeliveryHook hook) { delivery_hook_ = std::move(hook); }

  // Carries out what an instance decided outside of a tick.
  void Perform(size_t index, MembershipActions actions) {
    for (OutgoingDatagram& outgoing : actions.datagrams) {
      Transmit(index, outgoing);
    }
    for (const MembershipChange& change : actions.changes) {
      if (change_hook_) {
        change_hook_(index, change, now_);
      }
    }
    for (const VersionAnnouncement& heard : actions.versions) {
      if (version_hook_) {
        version_hook_(index, heard, now_);
      }
    }
  }

  // Runs `action` at a later time.
  void At(TimePoint time, std::function<void()> action) {
    Push({.time = time, .action = std::move(action)});
  }

  void Run(Duration length) {
    const TimePoint end = now_ + length;
    while (!events_.empty() && events_.top().time <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.time;
      Handle(event);
    }
    now_ = end;
  }

  Membership& at(size_t index) { return *nodes_[index].membership; }
  bool alive(size_t index) const { return nodes_[index].alive; }
  size_t size() const { return nodes_.size(); }
  TimePoint now() const { return now_; }
  uint64_t datagrams() const { return datagrams_; }

  // Sent and received by all, with the headers of UDP and IP.
  uint64_t bytes() const { return bytes_; }

 private:
  struct Node {
    std::unique_ptr<Membership> membership;
    bool alive = false;
    uint64_t generation = 0;
    TimePoint paused_until;
  };
  // A delivery if there is a datagram, an action if there is one, or a tick.
  struct Event {
    TimePoint time = {};
    uint64_t order = 0;
    size_t node = 0;
    uint64_t generation = 0;
    std::shared_ptr<const Datagram> datagram = {};
    Endpoint source = {};
    std::function<void()> action = {};

    bool operator<(const Event& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };

  static constexpr size_t kHeaderBytes = 28;

  static size_t IndexOf(const Endpoint& endpoint) {
    const size_t dot = endpoint.host.rfind('.');
    const size_t high = std::stoul(endpoint.host.substr(5, dot - 5));
    return high * 250 + std::stoul(endpoint.host.substr(dot + 1));
  }

  void ConnectAll() {
    Datagram all;
    all.kind = DatagramKind::kMembers;
    all.sender = "introduction";
    for (const Node& node : nodes_) {
      all.members.push_back(node.membership->self());
    }
    for (const Node& node : nodes_) {
      node.membership->OnDatagram(all, {}, now_);
    }
  }

  void Push(Event event) {
    event.order = ++last_order_;
    events_.push(std::move(event));
  }

  void Transmit(size_t from, OutgoingDatagram& outgoing) {
    if (edit_hook_) {
      edit_hook_(outgoing.datagram);
    }
    ++datagrams_;
    const size_t bytes =
        EncodeDatagram(outgoing.datagram).size() + kHeaderBytes;
    bytes_ += bytes;
    const size_t to = IndexOf(outgoing.receiver);
    const bool lost =
        std::uniform_real_distribution<double>(0, 1)(random_) < options_.loss;
    if (lost || to >= nodes_.size() || (cut_ && cut_(from, to))) {
      return;
    }
    bytes_ += bytes;
    Push({.time = now_ + options_.latency,
          .node = to,
          .datagram = std::make_shared<Datagram>(std::move(outgoing.datagram)),
          .source = MakeInstance(from, 1).gossip});
  }

  void Handle(Event& event) {
    if (event.action) {
      event.action();
      return;
    }
    Node& node = nodes_[event.node];
    const bool stale = !event.datagram && event.generation != node.generation;
    if (!node.alive || stale) {
      return;
    }
    if (now_ < node.paused_until) {
      event.time = node.paused_until;
      events_.push(event);
      return;
    }
    if (event.datagram) {
      if (delivery_hook_) {
        delivery_hook_(event.node, *event.datagram);
      }
      Perform(event.node,
              node.membership->OnDatagram(*event.datagram, event.source, now_));
      return;
    }
    Perform(event.node, node.membership->Tick(now_));
    event.time = now_ + options_.tick_period;
    Push(std::move(event));
  }

  DatagramFakeOptions options_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::priority_queue<Event> events_;
  TimePoint now_{std::chrono::hours(1)};
  uint64_t last_order_ = 0;
  uint64_t datagrams_ = 0;
  uint64_t bytes_ = 0;
  CutHook cut_;
  ChangeHook change_hook_;
  VersionHook version_hook_;
  EditHook edit_hook_;
  DeliveryHook delivery_hook_;
};

}  // namespace greengage

#endif  // GREENGAGE_TOOLS_BENCH_DATAGRAM_FAKE_H_
