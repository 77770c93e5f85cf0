// HTTP/2 streams between instances: a request message with a streamed response.
#ifndef GREENGAGE_TRANSPORT_PEER_LINK_H_
#define GREENGAGE_TRANSPORT_PEER_LINK_H_

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "greengage/state/endpoint.h"
#include "greengage/state/result.h"
#include "greengage/state/time.h"

namespace greengage {

struct PeerLimits {
  size_t message_bytes = size_t{2} * 1024 * 1024;  // Limit of each message.
  size_t streams = 65536;  // Concurrent streams of a connection.
  std::chrono::milliseconds connect_timeout{1000};
  // If a connection with open streams receives nothing for this time, it is
  // pinged. If it then receives nothing for the same time, it is replaced.
  std::chrono::milliseconds silence_timeout{300};
};

// The server side of one stream. Thread-safe.
class PeerStream {
 public:
  virtual ~PeerStream() = default;

  // Sends one message of the response.
  virtual void Send(std::string message) = 0;

  // Ends the response.
  virtual void Finish() = 0;

  // Resets the stream with REFUSED_STREAM, which guarantees to the client that
  // the request was not executed.
  virtual void Refuse() = 0;

  // Sets a hook that runs once if the client cancels the stream or the
  // connection ends. Must be called before the handler returns.
  virtual void OnCancelled(std::function<void()> hook) = 0;
};

// Handles a request. `path` names the operation; `message` is the complete
// request message.
using PeerHandler = std::function<
    void(std::string path, std::string message, std::shared_ptr<PeerStream>)>;

class PeerServer {
 public:
  virtual ~PeerServer() = default;

  // Fails with kAddressInUse or kInvalidArgument.
  static Result<std::shared_ptr<PeerServer>> Listen(
      boost::asio::io_context& context,
      const Endpoint& endpoint,
      PeerLimits limits,
      PeerHandler handler);

  // Returns the listening endpoint, with the port that was bound.
  virtual Endpoint endpoint() const = 0;

  // Sends GOAWAY on all connections, closes each connection after its streams
  // have ended, and runs `stopped` after the last one has closed. Streams
  // opened after the GOAWAY are refused, which proves to the client that they
  // were not executed.
  virtual void Stop(std::function<void()> stopped) = 0;
};

// Result of a stream. `not_run` is true only if it is certain that the peer did
// not execute the request: nothing was written, the peer refused the stream, or
// its GOAWAY excluded the stream.
struct PeerStreamResult {
  std::optional<Failure> failure;  // Empty if the response is complete.
  bool not_run = false;
};

// A client of one peer. It connects on first use, reconnects after failures,
// and replaces an unresponsive connection. Thread-safe.
class PeerClient {
 public:
  using MessageHook = std::function<void(std::string message)>;
  using EndHook = std::function<void(PeerStreamResult)>;
  using StreamId = uint64_t;

  virtual ~PeerClient() = default;

  static std::shared_ptr<PeerClient> Create(boost::asio::io_context& context,
                                            const Endpoint& server,
                                            PeerLimits limits);

  // Opens a stream. `on_message` runs for each message of the response, then
  // `on_end` exactly once, no later than `deadline`.
  virtual StreamId Open(std::string path,
                        std::string message,
                        TimePoint deadline,
                        MessageHook on_message,
                        EndHook on_end) = 0;

  // Cancels a stream, whose `on_end` receives kCancelled. Has no effect if the
  // stream has ended.
  virtual void Cancel(StreamId id) = 0;

  // Closes all connections. Open streams and new ones fail with
  // kConnectionClosed.
  virtual void Close() = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_PEER_LINK_H_
