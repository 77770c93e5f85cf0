// The client's end of one connection between instances.
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

// One stream from Open() to its end.
struct PeerClientStream {
  PeerClient::StreamId id = 0;
  std::string path;
  std::string request;
  TimePoint deadline;
  PeerClient::MessageHook on_message;
  PeerClient::EndHook on_end;
  MessageDecoder decoder;
  size_t request_offset = 0;
  int32_t wire_id = 0;  // 0 until handed to nghttp2.
  // Position in the connection's output, once there.
  std::optional<uint64_t> first_byte = std::nullopt;
  bool status_received = false;
  bool whole = false;
};

// Streams wait until the server's SETTINGS have come, which proves that its
// process has taken the connection: nothing is lost in a listener's backlog.
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

  // Thread-safe. False, leaving `stream` as it was, if the connection takes
  // no more streams.
  bool Open(std::unique_ptr<PeerClientStream>& stream);

 private:
  // Without a stream: cancels the one with this id.
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
  void OnHeadersPacked(int32_t stream_id) override;
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
  void Retire();
  bool ProvedNotRun(const PeerClientStream& stream) const;
  Failure Describe(FailureKind kind, std::string detail) const;
  PeerClientStream* Find(int32_t stream_id);

  void ArmDeadlines();
  void ExpireStreams(TimePoint now);
  void ArmSilence();
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
  bool ready_ = false;    // The server's SETTINGS have come.
  bool retired_ = false;  // Takes no more streams.
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_PEER_CLIENT_CONNECTION_H_
