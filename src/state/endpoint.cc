#include "greengage/state/endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace greengage {

std::string ToString(const Endpoint& endpoint) {
  const bool ipv6 = endpoint.host.find(':') != std::string::npos;
  const std::string host = ipv6 ? "[" + endpoint.host + "]" : endpoint.host;
  return host + ":" + std::to_string(endpoint.port);
}

Result<Endpoint> ParseEndpoint(std::string_view text) {
  const Failure failure{FailureKind::kInvalidArgument, std::string(text),
                        "want IP:PORT, as in 127.0.0.1:8080 or [::1]:8080"};
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return failure;
  }
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(std::string(host), error);
  if (error) {
    return failure;
  }
  const std::string_view digits = text.substr(colon + 1);
  uint16_t port = 0;
  const auto [end, status] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (status != std::errc() || end != digits.data() + digits.size()) {
    return failure;
  }
  return Endpoint{std::string(host), port};
}

}  // namespace greengage
