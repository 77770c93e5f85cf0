#include "transport/peer_client_connection.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstring>
#include <functional>

#include "greengage/transport/guard.h"
#include "transport/clock.h"
#include "transport/socket_address.h"

namespace greengage {
namespace {

namespace asio = boost::asio;

nghttp2_nv Header(std::string_view name, std::string_view value) {
  nghttp2_nv header{};
  // nghttp2 requires mutable pointers but does not modify the data.
  // NOLINTBEGIN(google-readability-casting)
  header.name =
      const_cast<uint8_t*>(reinterpret_cast<const uint8_t*>(name.data()));
  header.value =
      const_cast<uint8_t*>(reinterpret_cast<const uint8_t*>(value.data()));
  // NOLINTEND(google-readability-casting)
  header.namelen = name.size();
  header.valuelen = value.size();
  return header;
}

}  // namespace

PeerClientConnection::PeerClientConnection(const Strand& strand,
                                           const Endpoint& server,
                                           PeerLimits limits)
    : Http2Connection(asio::ip::tcp::socket(strand), strand, limits),
      server_(server),
      authority_(ToString(server)),
      connect_timer_(strand),
      deadlines_(strand),
      silence_timer_(strand),
      silence_(limits.silence_timeout, Now()) {}

void PeerClientConnection::Start() {
  asio::post(strand(), [self = shared_from_this(), this] { Connect(); });
}

void PeerClientConnection::Shutdown() {
  asio::post(strand(), [self = shared_from_this(), this] {
    Close(Describe(FailureKind::kConnectionClosed, "the link was closed"));
  });
}

void PeerClientConnection::Connect() {
  const auto address = ToTcp(server_);
  if (!address) {
    Close(address.last_reason());
    return;
  }
  connect_timer_.expires_after(limits().connect_timeout);
  connect_timer_.async_wait(
      [self = shared_from_this(), this](boost::system::error_code error) {
        if (!error && !ready_) {
          Close(Describe(FailureKind::kConnectFailed, "no connection in time"));
        }
      });
  socket().async_connect(
      *address,
      asio::bind_executor(strand(), [self = shared_from_this(),
                                     this](boost::system::error_code error) {
        OnConnected(error);
      }));
}

void PeerClientConnection::OnConnected(const boost::system::error_code& error) {
  if (closed()) {
    return;
  }
  if (error || !StartSession(Role::kClient)) {
    Close(Describe(FailureKind::kConnectFailed, error.message()));
    return;
  }
  Flush();
}

bool PeerClientConnection::Open(std::unique_ptr<PeerClientStream>& stream) {
  Command command{stream->id, std::move(stream)};
  const PushResult result = mailbox_.Push(command);
  if (result == PushResult::kClosed) {
    stream = std::move(command.stream);
    return false;
  }
  if (result == PushResult::kSchedule) {
    Schedule();
  }
  return true;
}

void PeerClientConnection::Cancel(StreamId id) {
  Command command{id, nullptr};
  if (mailbox_.Push(command) == PushResult::kSchedule) {
    Schedule();
  }
}

void PeerClientConnection::Schedule() {
  asio::post(strand(), [self = shared_from_this(), this] {
    Execute(mailbox_.TakeScheduled());
    Flush();
  });
}

void PeerClientConnection::OnInputProcessed() {
  Execute(mailbox_.Take());
}

void PeerClientConnection::Execute(std::vector<Command> commands) {
  for (Command& command : commands) {
    if (command.stream != nullptr) {
      Add(std::move(command.stream));
      continue;
    }
    const auto found = streams_.find(command.id);
    if (found != streams_.end()) {
      Reset(*found->second, Describe(FailureKind::kCancelled, "cancelled"));
    }
  }
}

void PeerClientConnection::Add(std::unique_ptr<PeerClientStream> stream) {
  if (closed() || stopped_opening_) {
    stream->on_end({Describe(FailureKind::kConnectionClosed, "closed"), true});
    return;
  }
  const StreamId id = stream->id;
  deadlines_.Add(stream->deadline, id);
  PeerClientStream& added =
      *streams_.emplace(id, std::move(stream)).first->second;
  if (ready_) {
    Submit(added);
  } else {
    unsubmitted_.push_back(id);
  }
  ArmDeadlines();
}

void PeerClientConnection::Submit(PeerClientStream& stream) {
  const std::array<nghttp2_nv, 4> headers = {
      Header(":method", "POST"), Header(":scheme", "http"),
      Header(":authority", authority_), Header(":path", stream.path)};
  const nghttp2_data_provider provider = BodyProvider();
  const int32_t wire_id = nghttp2_submit_request(
      session(), nullptr, headers.data(), headers.size(), &provider, &stream);
  if (wire_id < 0) {
    // The connection has no stream ids left.
    End(stream.id,
        Describe(FailureKind::kConnectionClosed, nghttp2_strerror(wire_id)),
        true);
    StopOpening();
    return;
  }
  stream.wire_id = wire_id;
  ArmSilenceTimer();
}

void PeerClientConnection::OnSettings() {
  if (std::exchange(ready_, true)) {
    return;
  }
  connect_timer_.cancel();
  for (const StreamId id : std::exchange(unsubmitted_, {})) {
    const auto found = streams_.find(id);
    if (found != streams_.end()) {
      Submit(*found->second);
    }
  }
}

void PeerClientConnection::OnHeadersSerialized(int32_t stream_id) {
  PeerClientStream* const stream = Find(stream_id);
  if (stream != nullptr) {
    stream->output_offset = serialized_bytes();
  }
}

void PeerClientConnection::OnHeadersNotSent(int32_t stream_id) {
  PeerClientStream* const stream = Find(stream_id);
  if (stream != nullptr) {
    End(stream->id,
        Describe(FailureKind::kShuttingDown, "the peer takes no new streams"),
        true);
  }
}

ssize_t PeerClientConnection::ReadBody(int32_t stream_id,
                                       uint8_t* buffer,
                                       size_t capacity,
                                       uint32_t* flags) {
  PeerClientStream* const stream = Find(stream_id);
  if (stream == nullptr) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  const size_t left = stream->request.size() - stream->request_offset;
  const size_t size = std::min(capacity, left);
  std::memcpy(buffer, stream->request.data() + stream->request_offset, size);
  stream->request_offset += size;
  if (size == left) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
    stream->request = std::string();
    stream->request_offset = 0;
  }
  return static_cast<ssize_t>(size);
}

void PeerClientConnection::OnHeader(int32_t stream_id,
                                    std::string_view name,
                                    std::string_view value) {
  PeerClientStream* const stream = Find(stream_id);
  if (stream == nullptr || name != ":status") {
    return;
  }
  if (value != "200") {
    Reset(*stream, Describe(FailureKind::kMalformedMessage, "status not 200"));
    return;
  }
  stream->status_received = true;
}

void PeerClientConnection::OnData(int32_t stream_id, std::string_view bytes) {
  PeerClientStream* const stream = Find(stream_id);
  if (stream == nullptr) {
    return;
  }
  bool is_within_limits = false;
  const auto feed = [stream, bytes, &is_within_limits] {
    is_within_limits = stream->decoder.Feed(bytes, stream->on_message);
  };
  if (!RunGuarded("peer_answer", feed)) {
    Reset(*stream, Describe(FailureKind::kMalformedMessage,
                            "the answer cannot be handled"));
  } else if (!is_within_limits) {
    Reset(*stream, Describe(FailureKind::kTooLarge, "message of the answer"));
  }
}

void PeerClientConnection::OnStreamEnded(int32_t stream_id) {
  PeerClientStream* const stream = Find(stream_id);
  if (stream != nullptr) {
    stream->complete = stream->status_received && stream->decoder.at_boundary();
  }
}

void PeerClientConnection::OnStreamClosed(int32_t stream_id,
                                          uint32_t error_code) {
  PeerClientStream* const stream = Find(stream_id);
  if (stream == nullptr) {
    return;
  }
  const StreamId id = stream->id;
  if (error_code == NGHTTP2_REFUSED_STREAM) {
    End(id, Describe(FailureKind::kUnavailable, "the peer refused the stream"),
        !stream->status_received);
  } else if (error_code != NGHTTP2_NO_ERROR) {
    End(id,
        Describe(FailureKind::kConnectionClosed,
                 nghttp2_http2_strerror(error_code)),
        false);
  } else if (!stream->complete) {
    End(id, Describe(FailureKind::kMalformedMessage, "answer cut short"),
        false);
  } else {
    End(id, std::nullopt, false);
  }
}

void PeerClientConnection::OnGoaway() {
  StopOpening();
}

// Accepts no more streams. Submitted streams may finish.
void PeerClientConnection::StopOpening() {
  stopped_opening_ = true;
  Execute(mailbox_.Close());
  for (const StreamId id : std::exchange(unsubmitted_, {})) {
    End(id, Describe(FailureKind::kShuttingDown, "the peer is stopping"), true);
  }
}

void PeerClientConnection::OnBytesReceived() {
  silence_.OnProgress(Now());
}

void PeerClientConnection::OnClosed(const Failure& reason) {
  stopped_opening_ = true;
  connect_timer_.cancel();
  deadlines_.Cancel();
  silence_timer_.cancel();
  Execute(mailbox_.Close());
  while (!streams_.empty()) {
    const PeerClientStream& stream = *streams_.begin()->second;
    End(stream.id, reason, IsProvenNotRun(stream));
  }
}

bool PeerClientConnection::IsProvenNotRun(
    const PeerClientStream& stream) const {
  return !stream.output_offset || written_bytes() <= *stream.output_offset;
}

void PeerClientConnection::Reset(PeerClientStream& stream, Failure failure) {
  if (stream.wire_id != 0) {
    nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, stream.wire_id,
                              NGHTTP2_CANCEL);
  }
  End(stream.id, std::move(failure), IsProvenNotRun(stream));
}

void PeerClientConnection::End(StreamId id,
                               std::optional<Failure> failure,
                               bool not_run) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) {
    return;
  }
  const std::unique_ptr<PeerClientStream> stream = std::move(found->second);
  streams_.erase(found);
  if (stream->wire_id != 0) {
    // The library may report more of the stream.
    nghttp2_session_set_stream_user_data(session(), stream->wire_id, nullptr);
  }
  RunGuarded("end_of_peer_call", [&stream, &failure, not_run] {
    stream->on_end({std::move(failure), not_run});
  });
}

Failure PeerClientConnection::Describe(FailureKind kind,
                                       std::string detail) const {
  return {kind, authority_, std::move(detail)};
}

PeerClientStream* PeerClientConnection::Find(int32_t stream_id) {
  return static_cast<PeerClientStream*>(
      nghttp2_session_get_stream_user_data(session(), stream_id));
}

void PeerClientConnection::ArmDeadlines() {
  deadlines_.Arm([self = shared_from_this(), this] {
    if (closed()) {
      return;
    }
    ExpireStreams(Now());
    ArmDeadlines();
    Flush();
  });
}

void PeerClientConnection::ExpireStreams(TimePoint now) {
  for (const StreamId id : deadlines_.TakeExpired(now)) {
    const auto found = streams_.find(id);
    if (found != streams_.end()) {
      Reset(*found->second, Describe(FailureKind::kTimedOut, "deadline"));
    }
  }
}

void PeerClientConnection::ArmSilenceTimer() {
  if (std::exchange(silence_armed_, true)) {
    return;
  }
  silence_.OnProgress(Now());
  WaitForSilence();
}

void PeerClientConnection::WaitForSilence() {
  silence_timer_.expires_at(silence_.next_check());
  silence_timer_.async_wait(
      [self = shared_from_this(), this](boost::system::error_code error) {
        if (!error && !closed()) {
          CheckSilence(Now());
        }
      });
}

void PeerClientConnection::CheckSilence(TimePoint now) {
  if (streams_.empty()) {
    silence_armed_ = false;
    return;
  }
  switch (silence_.Check(now)) {
    case SilenceAction::kWait:
      break;
    case SilenceAction::kPing:
      nghttp2_submit_ping(session(), NGHTTP2_FLAG_NONE, nullptr);
      Flush();
      break;
    case SilenceAction::kReplace:
      Close(Describe(FailureKind::kSilentConnection, "no answer to a ping"));
      return;
  }
  if (!closed()) {
    WaitForSilence();
  }
}

}  // namespace greengage
