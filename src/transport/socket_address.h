// Conversions between Endpoint and the endpoints of Asio.
#ifndef GREENGAGE_TRANSPORT_SOCKET_ADDRESS_H_
#define GREENGAGE_TRANSPORT_SOCKET_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/system/error_code.hpp>

#include "greengage/state/endpoint.h"
#include "greengage/state/result.h"

namespace greengage {

// Fail with kInvalidArgument if the host is not a numeric IP address.
Result<boost::asio::ip::tcp::endpoint> ToTcp(const Endpoint& endpoint);
Result<boost::asio::ip::udp::endpoint> ToUdp(const Endpoint& endpoint);

Endpoint FromSocket(const boost::asio::ip::tcp::endpoint& address);
Endpoint FromSocket(const boost::asio::ip::udp::endpoint& address);

// Returns the failure for a socket that cannot be bound to `endpoint`.
Failure BindFailure(const Endpoint& endpoint,
                    const boost::system::error_code& error);

// Opens a listening socket in `acceptor`. Fails with kAddressInUse or
// kInvalidArgument.
Result<Done> OpenListener(boost::asio::ip::tcp::acceptor& acceptor,
                          const Endpoint& endpoint);

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_SOCKET_ADDRESS_H_
