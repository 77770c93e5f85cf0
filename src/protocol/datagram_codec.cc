#include "greengage/protocol/datagram_codec.h"

#include <cstdint>
#include <optional>
#include <utility>

#include "protocol/endpoint_codec.h"
#include "protocol/peer.pb.h"

namespace greengage {

namespace {

// Omits the end points if they are unknown.
void Encode(const Instance& instance, wire::Member* message) {
  message->set_id(instance.id);
  message->set_data_centre(instance.data_centre);
  message->set_state(static_cast<uint32_t>(instance.state));
  message->set_incarnation(instance.incarnation);
  if (!instance.gossip.host.empty()) {
    EncodeEndpoint(instance.gossip, message->mutable_gossip());
    EncodeEndpoint(instance.peer, message->mutable_peer());
    EncodeEndpoint(instance.http, message->mutable_http());
  }
}

std::optional<Instance> Decode(const wire::Member& message) {
  const std::optional<Endpoint> gossip = DecodeEndpoint(message.gossip());
  const std::optional<Endpoint> peer = DecodeEndpoint(message.peer());
  const std::optional<Endpoint> http = DecodeEndpoint(message.http());
  const bool known_state =
      message.state() <= static_cast<uint32_t>(InstanceState::kGone);
  if (!gossip || !peer || !http || !known_state || message.id().empty()) {
    return std::nullopt;
  }
  return Instance{.id = message.id(),
                  .data_centre = message.data_centre(),
                  .gossip = *gossip,
                  .peer = *peer,
                  .http = *http,
                  .state = static_cast<InstanceState>(message.state()),
                  .incarnation = message.incarnation()};
}

Failure Malformed(std::string detail) {
  return {.kind = FailureKind::kMalformedMessage,
          .subject = "datagram",
          .detail = std::move(detail)};
}

}  // namespace

std::string EncodeDatagram(const Datagram& datagram) {
  wire::Datagram message;
  message.set_kind(static_cast<wire::Datagram::Kind>(datagram.kind));
  message.set_sender(datagram.sender);
  message.set_sequence(datagram.sequence);
  message.mutable_stamp()->set_milliseconds(datagram.stamp.milliseconds);
  message.mutable_stamp()->set_counter(datagram.stamp.counter);
  message.set_configuration_version(datagram.configuration_version);
  message.set_target(datagram.target);
  for (const Instance& member : datagram.members) {
    Encode(member, message.add_members());
  }
  message.mutable_digest()->Add(datagram.digest.begin(), datagram.digest.end());
  return message.SerializeAsString();
}

Result<Datagram> DecodeDatagram(std::string_view bytes) {
  wire::Datagram message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Malformed("not a protobuf message");
  }
  if (!wire::Datagram::Kind_IsValid(message.kind())) {
    return Malformed("unknown kind " + std::to_string(message.kind()));
  }
  if (message.sender().empty()) {
    return Malformed("no sender");
  }
  Datagram datagram;
  datagram.kind = static_cast<DatagramKind>(message.kind());
  datagram.sender = message.sender();
  datagram.sequence = message.sequence();
  datagram.stamp = {.milliseconds = message.stamp().milliseconds(),
                    .counter = message.stamp().counter()};
  datagram.configuration_version = message.configuration_version();
  datagram.target = message.target();
  datagram.digest.assign(message.digest().begin(), message.digest().end());
  datagram.members.reserve(message.members_size());
  for (const wire::Member& member : message.members()) {
    std::optional<Instance> instance = Decode(member);
    if (!instance) {
      return Malformed("invalid member");
    }
    datagram.members.push_back(*std::move(instance));
  }
  return datagram;
}

}  // namespace greengage
