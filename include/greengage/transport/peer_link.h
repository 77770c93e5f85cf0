// nghttp2 streams between instances: requests with a streamed answer.
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
  size_t message_bytes = size_t{2} * 1024 * 1024;  // One message, either way.
  size_t streams = 65536;  // Concurrent on one connection.
  std::chrono::milliseconds connect_timeout{1000};
  // A link that owes answers and makes no progress is pinged after this time,
  // and replaced when the ping stays unanswered as long again.
  std::chrono::milliseconds silence_timeout{300};
};

// The server's side of one stream. Thread-safe.
class PeerStream {
 public:
  virtual ~PeerStream() = default;

  // Sends one message of the answer.
  virtual void Send(std::string message) = 0;

  // Ends the answer.
  virtual void Finish() = 0;

  // Resets the stream with REFUSED_STREAM: the request was not run at all.
  virtual void Refuse() = 0;

  // Runs `hook` once if the client cancels the stream or its connection ends.
  // Must be set before the handler returns.
  virtual void OnCancelled(std::function<void()> hook) = 0;
};

// `path` names the operation, `message` is the whole request.
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

  virtual Endpoint endpoint() const = 0;

  // Sends GOAWAY on all connections, closes each when its streams are done,
  // and runs `stopped` when none is left. Streams opened after the GOAWAY are
  // refused, which proves to the client that they were not run.
  virtual void Stop(std::function<void()> stopped) = 0;
};

// How a stream ended. `not_run` is true only with proof: nothing was written,
// the peer refused the stream, or its GOAWAY excluded it.
struct PeerStreamResult {
  std::optional<Failure> failure;  // Empty: the answer is complete.
  bool not_run = false;
};

// A client's link to one peer. It connects when first used, reconnects after
// failures, and replaces a connection that has gone silent. Thread-safe.
class PeerClient {
 public:
  using MessageHook = std::function<void(std::string message)>;
  using EndHook = std::function<void(PeerStreamResult)>;
  using StreamId = uint64_t;

  virtual ~PeerClient() = default;

  static std::shared_ptr<PeerClient> Create(boost::asio::io_context& context,
                                            const Endpoint& server,
                                            PeerLimits limits);

  // Opens a stream. `on_message` runs for each message of the answer, then
  // `on_end` exactly once, at the latest at `deadline`.
  virtual StreamId Open(std::string path,
                        std::string message,
                        TimePoint deadline,
                        MessageHook on_message,
                        EndHook on_end) = 0;

  // Cancels a stream; `on_end` gets kCancelled. No effect if ended.
  virtual void Cancel(StreamId id) = 0;

  // Ends the link; open streams fail with kConnectionClosed.
  virtual void Close() = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_PEER_LINK_H_
