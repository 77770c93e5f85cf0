#include "greengage/transport/gossip_service.h"

#include <boost/asio/post.hpp>

#include <chrono>
#include <utility>

#include "greengage/protocol/datagram_codec.h"
#include "transport/clock.h"

namespace greengage {

namespace {

constexpr std::chrono::milliseconds kTickInterval{100};

EventKind EventOf(MembershipChangeKind kind) {
  switch (kind) {
    case MembershipChangeKind::kJoined:
      return EventKind::kInstanceJoined;
    case MembershipChangeKind::kSuspected:
      return EventKind::kInstanceSuspected;
    case MembershipChangeKind::kRefuted:
      return EventKind::kInstanceRefuted;
    case MembershipChangeKind::kLeaving:
      return EventKind::kInstanceLeaving;
    case MembershipChangeKind::kGone:
      return EventKind::kInstanceGone;
  }
  return EventKind::kInstanceGone;
}

}  // namespace

GossipService::GossipService(boost::asio::io_context& context,
                             HybridClock* clock,
                             EventLog* events,
                             Hooks hooks)
    : clock_(clock),
      events_(events),
      hooks_(std::move(hooks)),
      strand_(boost::asio::make_strand(context)),
      timer_(strand_) {}

Result<std::shared_ptr<GossipService>> GossipService::Start(
    boost::asio::io_context& context,
    GossipOptions options,
    HybridClock* clock,
    EventLog* events,
    Hooks hooks) {
  const std::shared_ptr<GossipService> service(
      new GossipService(context, clock, events, std::move(hooks)));
  const Result<Done> bound = service->Bind(context, std::move(options));
  if (!bound) {
    return bound.last_reason();
  }
  return service;
}

Result<Done> GossipService::Bind(boost::asio::io_context& context,
                                 GossipOptions options) {
  Result<std::shared_ptr<DatagramSocket>> socket = DatagramSocket::Bind(
      context, options.self.gossip,
      [weak = weak_from_this()](const Endpoint& source, std::string bytes) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        boost::asio::post(self->strand_,
                          [self, source, bytes = std::move(bytes)] {
                            self->OnDatagram(source, bytes);
                          });
      });
  if (!socket) {
    return socket.last_reason();
  }
  socket_ = *std::move(socket);
  options.self.gossip = socket_->endpoint();
  options.self.incarnation = SinceEpoch(NowWall()).count();
  options.membership.datagram_bytes = kMaxDatagramBytes;
  membership_ = std::make_unique<Membership>(options.self, options.membership,
                                             options.random_seed, Now());
  membership_->SetSeeds(std::move(options.seeds));
  PublishTable();
  boost::asio::post(strand_,
                    [self = shared_from_this()] { self->ScheduleTick(); });
  return Done{};
}

MemberTablePtr GossipService::table() const {
  const std::lock_guard lock(table_mutex_);
  return table_;
}

void GossipService::SetSeeds(std::vector<Endpoint> seeds) {
  boost::asio::post(
      strand_, [self = shared_from_this(), seeds = std::move(seeds)]() mutable {
        self->membership_->SetSeeds(std::move(seeds));
      });
}

void GossipService::SetConfigurationVersion(uint64_t version) {
  boost::asio::post(strand_, [self = shared_from_this(), version] {
    self->membership_->SetConfigurationVersion(version);
  });
}

void GossipService::Leave() {
  boost::asio::post(strand_, [self = shared_from_this()] {
    self->ExecuteActions(self->membership_->Leave(Now()));
    self->PublishTable();
  });
}

void GossipService::Stop(std::function<void()> on_stopped) {
  boost::asio::post(
      strand_, [self = shared_from_this(), on_stopped = std::move(on_stopped)] {
        self->ExecuteActions(self->membership_->Stop(Now()));
        self->stopped_ = true;
        self->timer_.cancel();
        self->socket_->Close();
        on_stopped();
      });
}

void GossipService::ScheduleTick() {
  if (stopped_) {
    return;
  }
  timer_.expires_after(kTickInterval);
  timer_.async_wait([weak = weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (error || !self) {
      return;
    }
    self->ExecuteActions(self->membership_->Tick(Now()));
    self->ScheduleTick();
  });
}

void GossipService::OnDatagram(const Endpoint& source,
                               const std::string& bytes) {
  if (stopped_ || faults_.ShouldDropFrom(source)) {
    return;
  }
  counters_.datagrams_received.Add();
  counters_.bytes_received.Add(bytes.size());
  const Result<Datagram> datagram = DecodeDatagram(bytes);
  if (!datagram) {
    counters_.datagrams_malformed.Add();
    return;
  }
  clock_->Observe(datagram->stamp, NowWall());
  ExecuteActions(membership_->OnDatagram(*datagram, source, Now()));
}

void GossipService::ExecuteActions(MembershipActions actions) {
  for (OutgoingDatagram& outgoing : actions.datagrams) {
    Send(std::move(outgoing));
  }
  if (!actions.changes.empty()) {
    PublishTable();
  }
  for (const MembershipChange& change : actions.changes) {
    RecordChange(change);
  }
  if (!actions.changes.empty() && hooks_.on_table) {
    hooks_.on_table(table());
  }
  for (const VersionAnnouncement& announced : actions.versions) {
    OnVersionAnnounced(announced);
  }
}

void GossipService::Send(OutgoingDatagram outgoing) {
  outgoing.datagram.stamp = clock_->Now(NowWall());
  std::string bytes = EncodeDatagram(outgoing.datagram);
  counters_.datagrams_sent.Add();
  counters_.bytes_sent.Add(bytes.size());
  if (!faults_.ShouldDropTo(outgoing.receiver)) {
    socket_->Send(outgoing.receiver, std::move(bytes));
  }
}

void GossipService::RecordChange(const MembershipChange& change) {
  events_->Record(NowWall(), EventOf(change.kind), "", change.instance.id,
                  ToString(change.instance.gossip));
  if (hooks_.on_change) {
    hooks_.on_change(change);
  }
}

void GossipService::OnVersionAnnounced(const VersionAnnouncement& announced) {
  if (announced.version > highest_announced_version_) {
    highest_announced_version_ = announced.version;
    events_->Record(NowWall(), EventKind::kConfigurationLearned, "",
                    std::to_string(announced.version), announced.source.id);
  }
  if (hooks_.on_version) {
    hooks_.on_version(announced);
  }
}

void GossipService::PublishTable() {
  const MemberTablePtr table = membership_->Table();
  const std::lock_guard lock(table_mutex_);
  table_ = table;
}

}  // namespace greengage
