// The client side of one connection between instances.
#ifndef GREENGAGE_TRANSPORT_PEER_CLIENT_CONNECTION_H_
#define GREENGAGE_TRANSPORT_PEER_CLIENT_CONNECTION_H_

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "greengage/transport/peer_link.h"
#include "transport/deadline_timer.h"
#include "transport/http2_connection.h"
#include "transport/mailbox.h"
#include "transport/message_framing.h"
#include "transport/silence_monitor.h"

namespace greengage {

// A stream from PeerClient::Open() until its end.
struct PeerClientStream {
  PeerClient::StreamId id = 0;
  std::string path;
  std::string request;
  TimePoint deadline;
  PeerClient::MessageHook on_message;
  PeerClient::EndHook on_end;
  MessageDecoder decoder;
  size_t request_offset = 0;
  int32_t wire_id = 0;  // HTTP/2 stream id; 0 until submitted to nghttp2.
  // Offset of the request in the output of the connection, once serialized.
  std::optional<uint64_t> output_offset = std::nullopt;
  bool status_received = false;
  bool complete = false;
};

// Streams are submitted only after the SETTINGS of the server have arrived.
// They prove that the server process has accepted the connection, so no request
// is lost in the backlog of a listener.
class PeerClientConnection : public Http2Connection {
 public:
  using StreamId = PeerClient::StreamId;

  PeerClientConnection(const Strand& strand,
                       const Endpoint& server,
                       PeerLimits limits);

  // Thread-safe.
  void Start();
  void Shutdown();
  void Cancel(StreamId id);

  // Thread-safe. Returns false and leaves `stream` unchanged if the connection
  // accepts no more streams.
  bool Open(std::unique_ptr<PeerClientStream>& stream);

 private:
  // Opens `stream`, or cancels the stream `id` if `stream` is null.
  struct Command {
    StreamId id = 0;
    std::unique_ptr<PeerClientStream> stream;
  };

  void OnHeader(int32_t stream_id,
                std::string_view name,
                std::string_view value) override;
  void OnData(int32_t stream_id, std::string_view bytes) override;
  void OnStreamEnded(int32_t stream_id) override;
  void OnStreamClosed(int32_t stream_id, uint32_t error_code) override;
  void OnHeadersSerialized(int32_t stream_id) override;
  void OnHeadersNotSent(int32_t stream_id) override;
  void OnSettings() override;
  void OnGoaway() override;
  void OnBytesReceived() override;
  void OnClosed(const Failure& reason) override;
  void OnInputProcessed() override;
  ssize_t ReadBody(int32_t stream_id,
                   uint8_t* buffer,
                   size_t capacity,
                   uint32_t* flags) override;

  void Connect();
  void OnConnected(const boost::system::error_code& error);
  void Schedule();
  void Execute(std::vector<Command> commands);
  void Add(std::unique_ptr<PeerClientStream> stream);
  void Submit(PeerClientStream& stream);
  void End(StreamId id, std::optional<Failure> failure, bool not_run);
  void Reset(PeerClientStream& stream, Failure failure);
  void StopOpening();
  bool IsProvenNotRun(const PeerClientStream& stream) const;
  Failure Describe(FailureKind kind, std::string detail) const;
  PeerClientStream* Find(int32_t stream_id);

  void ArmDeadlines();
  void ExpireStreams(TimePoint now);
  void ArmSilenceTimer();
  void WaitForSilence();
  void CheckSilence(TimePoint now);

  const Endpoint server_;
  const std::string authority_;
  Mailbox<Command> mailbox_;
  std::unordered_map<StreamId, std::unique_ptr<PeerClientStream>> streams_;
  std::vector<StreamId> unsubmitted_;
  boost::asio::steady_timer connect_timer_;
  DeadlineTimer deadlines_;
  boost::asio::steady_timer silence_timer_;
  SilenceMonitor silence_;
  bool silence_armed_ = false;
  bool ready_ = false;            // The SETTINGS of the server have arrived.
  bool stopped_opening_ = false;  // Accepts no more streams.
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_PEER_CLIENT_CONNECTION_H_
