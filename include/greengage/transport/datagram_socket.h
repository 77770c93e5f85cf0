// UDP socket for the membership protocol between instances.
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

// Maximum size of a datagram. It is below the usual path MTU, so that no
// datagram is fragmented.
inline constexpr size_t kMaxDatagramBytes = 1200;

class DatagramSocket {
 public:
  using Handler = std::function<void(Endpoint sender, std::string datagram)>;

  virtual ~DatagramSocket() = default;

  // Opens a socket on `endpoint`. Fails with kAddressInUse or kInvalidArgument.
  // `handler` runs on the threads of `context`, one datagram at a time.
  static Result<std::shared_ptr<DatagramSocket>> Bind(
      boost::asio::io_context& context,
      const Endpoint& endpoint,
      Handler handler);

  // Returns the local endpoint, with the port that was bound.
  virtual Endpoint endpoint() const = 0;

  // Sends without blocking. Drops a datagram that is larger than
  // kMaxDatagramBytes or cannot be sent at once. Thread-safe.
  virtual void Send(const Endpoint& receiver, std::string datagram) = 0;

  virtual void Close() = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_DATAGRAM_SOCKET_H_
