// UDP datagrams between instances, for membership.
#ifndef GREENGAGE_TRANSPORT_DATAGRAM_SOCKET_H_
#define GREENGAGE_TRANSPORT_DATAGRAM_SOCKET_H_

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "greengage/state/endpoint.h"
#include "greengage/state/result.h"

namespace greengage {

// Largest datagram that is sent, so that none is split on the way. In bytes.
inline constexpr size_t kMaxDatagramBytes = 1200;

class DatagramSocket {
 public:
  using Handler = std::function<void(Endpoint sender, std::string datagram)>;

  virtual ~DatagramSocket() = default;

  // Fails with kAddressInUse or kInvalidArgument. `handler` runs on the
  // io_context's threads, one datagram at a time.
  static Result<std::shared_ptr<DatagramSocket>> Bind(
      boost::asio::io_context& context,
      const Endpoint& endpoint,
      Handler handler);

  virtual Endpoint endpoint() const = 0;

  // Sends without waiting; a datagram that cannot be sent is dropped.
  virtual void Send(const Endpoint& receiver, std::string datagram) = 0;

  virtual void Close() = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_DATAGRAM_SOCKET_H_
