#include "transport/socket_address.h"

#include <boost/asio/ip/address.hpp>

namespace greengage {
namespace {

namespace asio = boost::asio;

template <typename Protocol>
Result<asio::ip::basic_endpoint<Protocol>> ToSocket(const Endpoint& endpoint) {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(endpoint.host, error);
  if (error) {
    return Failure{FailureKind::kInvalidArgument, ToString(endpoint),
                   "the host is no IP number"};
  }
  return asio::ip::basic_endpoint<Protocol>(address, endpoint.port);
}

template <typename Protocol>
Endpoint ToEndpoint(const asio::ip::basic_endpoint<Protocol>& address) {
  return {address.address().to_string(), address.port()};
}

}  // namespace

Result<asio::ip::tcp::endpoint> ToTcp(const Endpoint& endpoint) {
  return ToSocket<asio::ip::tcp>(endpoint);
}

Result<asio::ip::udp::endpoint> ToUdp(const Endpoint& endpoint) {
  return ToSocket<asio::ip::udp>(endpoint);
}

Endpoint FromSocket(const asio::ip::tcp::endpoint& address) {
  return ToEndpoint(address);
}

Endpoint FromSocket(const asio::ip::udp::endpoint& address) {
  return ToEndpoint(address);
}

Failure BindFailure(const Endpoint& endpoint,
                    const boost::system::error_code& error) {
  const FailureKind kind = error == asio::error::address_in_use
                               ? FailureKind::kAddressInUse
                               : FailureKind::kInvalidArgument;
  return {kind, ToString(endpoint), error.message()};
}

Result<Done> OpenListener(asio::ip::tcp::acceptor& acceptor,
                          const Endpoint& endpoint) {
  const auto address = ToTcp(endpoint);
  if (!address) {
    return address.last_reason();
  }
  boost::system::error_code error;
  acceptor.open(address->protocol(), error);
  if (error) {
    return BindFailure(endpoint, error);
  }
  acceptor.set_option(asio::socket_base::reuse_address(true), error);
  acceptor.bind(*address, error);
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return BindFailure(endpoint, error);
  }
  return Done{};
}

}  // namespace greengage
