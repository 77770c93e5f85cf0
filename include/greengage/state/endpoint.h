// An IP address and port.
#ifndef GREENGAGE_STATE_ENDPOINT_H_
#define GREENGAGE_STATE_ENDPOINT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "greengage/state/result.h"

namespace greengage {

// Address at which a process listens. `host` is an IP address; host names are
// not resolved.
struct Endpoint {
  std::string host;
  uint16_t port = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Endpoint&) const = default;
};

// "127.0.0.1:8080", or "[::1]:8080" for IPv6.
std::string ToString(const Endpoint& endpoint);

// Parses the format that ToString() writes. Fails with kInvalidArgument.
Result<Endpoint> ParseEndpoint(std::string_view text);

}  // namespace greengage

template <>
struct std::hash<greengage::Endpoint> {
  size_t operator()(const greengage::Endpoint& endpoint) const noexcept {
    return std::hash<std::string>()(endpoint.host) * 31 + endpoint.port;
  }
};

#endif  // GREENGAGE_STATE_ENDPOINT_H_
