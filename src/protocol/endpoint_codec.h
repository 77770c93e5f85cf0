// The encoding of an Endpoint in messages between instances.
#ifndef GREENGAGE_SRC_PROTOCOL_ENDPOINT_CODEC_H_
#define GREENGAGE_SRC_PROTOCOL_ENDPOINT_CODEC_H_

#include <cstdint>
#include <limits>
#include <optional>

#include "greengage/state/endpoint.h"
#include "protocol/peer.pb.h"

namespace greengage {

inline void EncodeEndpoint(const Endpoint& endpoint, wire::Endpoint* message) {
  message->set_host(endpoint.host);
  message->set_port(endpoint.port);
}

// Returns nothing if the port is out of range. The host may be empty.
inline std::optional<Endpoint> DecodeEndpoint(const wire::Endpoint& message) {
  if (message.port() > std::numeric_limits<uint16_t>::max()) {
    return std::nullopt;
  }
  return Endpoint{.host = message.host(),
                  .port = static_cast<uint16_t>(message.port())};
}

}  // namespace greengage

#endif  // GREENGAGE_SRC_PROTOCOL_ENDPOINT_CODEC_H_
