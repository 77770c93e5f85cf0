#include "transport/peer_server_connection.h"

#include <boost/asio/post.hpp>

#include <atomic>
#include <utility>
#include <vector>

#include "greengage/transport/guard.h"

namespace greengage {
namespace {

namespace asio = boost::asio;

constexpr size_t kMaxPathBytes = 1024;
// Limit of the total size of incomplete requests per connection, and of unsent
// responses, as a multiple of the maximum message size.
constexpr size_t kMaxBufferedMessages = 32;

nghttp2_nv StatusHeader() {
  static std::string name = ":status";
  static std::string value = "200";
  nghttp2_nv header{};
  header.name = reinterpret_cast<uint8_t*>(name.data());
  header.namelen = name.size();
  header.value = reinterpret_cast<uint8_t*>(value.data());
  header.valuelen = value.size();
  return header;
}

}  // namespace

// The stream as seen by its handler. If the handler releases it before the end
// of the response, the stream is reset, so that the client does not have to
// wait for its deadline.
class PeerServerConnection::Handle : public PeerStream {
 public:
  Handle(std::weak_ptr<PeerServerConnection> connection, int32_t stream_id)
      : connection_(std::move(connection)), stream_id_(stream_id) {}

  ~Handle() override { End(Operation::kAbandon); }

  void Send(std::string message) override {
    if (!ended_) {
      Post(Operation::kSend, std::move(message));
    }
  }

  void Finish() override { End(Operation::kFinish); }
  void Refuse() override { End(Operation::kRefuse); }

  void OnCancelled(std::function<void()> hook) override {
    const auto connection = connection_.lock();
    Stream* const stream =
        connection == nullptr ? nullptr : connection->Find(stream_id_);
    if (stream != nullptr) {
      stream->on_cancelled = std::move(hook);
    }
  }

 private:
  void End(Operation operation) {
    if (!ended_.exchange(true)) {
      Post(operation, {});
    }
  }

  void Post(Operation operation, std::string message) {
    if (const auto connection = connection_.lock()) {
      connection->Post({stream_id_, operation, std::move(message)});
    }
  }

  const std::weak_ptr<PeerServerConnection> connection_;
  const int32_t stream_id_;
  std::atomic<bool> ended_ = false;
};

PeerServerConnection::PeerServerConnection(asio::ip::tcp::socket socket,
                                           Strand strand,
                                           PeerLimits limits,
                                           PeerHandler handler,
                                           ClosedHook on_closed)
    : Http2Connection(std::move(socket), std::move(strand), limits),
      handler_(std::move(handler)),
      on_closed_(std::move(on_closed)) {}

void PeerServerConnection::Start() {
  asio::post(strand(), [self = shared_from_this(), this] {
    if (!StartSession(Role::kServer)) {
      Close({FailureKind::kConnectionClosed, "peer", "socket unusable"});
      return;
    }
    Flush();
  });
}

void PeerServerConnection::Stop() {
  asio::post(strand(), [self = shared_from_this(), this] {
    if (closed() || session() == nullptr) {
      return;
    }
    stopping_ = true;
    nghttp2_submit_goaway(session(), NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(session()),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    Flush();
  });
}

void PeerServerConnection::Post(Command command) {
  if (mailbox_.Push(command) != PushResult::kSchedule) {
    return;
  }
  asio::post(strand(), [self = shared_from_this(), this] {
    Execute(mailbox_.TakeScheduled());
    Flush();
  });
}

void PeerServerConnection::OnRequestStarted(int32_t stream_id) {
  if (stopping_) {
    Reset(stream_id, NGHTTP2_REFUSED_STREAM);
    return;
  }
  streams_.try_emplace(stream_id);
}

void PeerServerConnection::OnHeader(int32_t stream_id,
                                    std::string_view name,
                                    std::string_view value) {
  Stream* const stream = Find(stream_id);
  if (stream == nullptr || name != ":path") {
    return;
  }
  if (value.size() > kMaxPathBytes) {
    Reset(stream_id, NGHTTP2_REFUSED_STREAM);
    return;
  }
  stream->path = value;
}

void PeerServerConnection::OnData(int32_t stream_id, std::string_view bytes) {
  Stream* const stream = Find(stream_id);
  if (stream == nullptr) {
    return;
  }
  const size_t buffered = request_bytes_ + bytes.size();
  if (stream->request.size() + bytes.size() > limits().message_bytes ||
      buffered > kMaxBufferedMessages * limits().message_bytes) {
    Reset(stream_id, NGHTTP2_REFUSED_STREAM);
    return;
  }
  request_bytes_ = buffered;
  stream->request.append(bytes);
}

void PeerServerConnection::OnStreamEnded(int32_t stream_id) {
  Stream* const stream = Find(stream_id);
  if (stream == nullptr || stream->dispatched) {
    return;
  }
  stream->dispatched = true;
  request_bytes_ -= stream->request.size();
  const auto self =
      std::static_pointer_cast<PeerServerConnection>(shared_from_this());
  const auto handle = std::make_shared<Handle>(self, stream_id);
  RunGuarded("peer_call", [this, stream, &handle] {
    handler_(std::move(stream->path), std::move(stream->request), handle);
  });
}

void PeerServerConnection::OnStreamClosed(int32_t stream_id,
                                          uint32_t /*error_code*/) {
  Erase(stream_id);
}

void PeerServerConnection::OnInputProcessed() {
  Execute(mailbox_.Take());
}

void PeerServerConnection::Execute(std::vector<Command> commands) {
  if (closed() || session() == nullptr) {
    return;
  }
  for (Command& command : commands) {
    Execute(std::move(command));
  }
}

void PeerServerConnection::Execute(Command command) {
  Stream* const stream = Find(command.stream_id);
  if (stream == nullptr || stream->finished) {
    return;
  }
  switch (command.operation) {
    case Operation::kSend:
      SendMessage(command.stream_id, *stream, std::move(command.message));
      break;
    case Operation::kFinish:
      stream->finished = true;
      stream->on_cancelled = nullptr;
      ContinueAnswer(command.stream_id, *stream);
      break;
    case Operation::kRefuse:
      stream->on_cancelled = nullptr;
      RefuseStream(command.stream_id, *stream);
      break;
    case Operation::kAbandon:
      stream->on_cancelled = nullptr;
      Reset(command.stream_id, NGHTTP2_INTERNAL_ERROR);
      break;
  }
}

// Once part of a response was sent, REFUSED_STREAM would be wrong, so the
// stream is reset with an error instead.
void PeerServerConnection::RefuseStream(int32_t stream_id,
                                        const Stream& stream) {
  if (stream.answering) {
    Reset(stream_id, NGHTTP2_INTERNAL_ERROR);
    return;
  }
  Reset(stream_id, NGHTTP2_REFUSED_STREAM);
}

void PeerServerConnection::SendMessage(int32_t stream_id,
                                       Stream& stream,
                                       std::string message) {
  const size_t size = kLengthPrefixBytes + message.size();
  if (message.size() > limits().message_bytes ||
      answer_bytes_ + size > kMaxBufferedMessages * limits().message_bytes) {
    Reset(stream_id, NGHTTP2_INTERNAL_ERROR);
    return;
  }
  answer_bytes_ += size;
  stream.answer.Append(std::move(message));
  ContinueAnswer(stream_id, stream);
}

void PeerServerConnection::ContinueAnswer(int32_t stream_id, Stream& stream) {
  if (stream.answering) {
    nghttp2_session_resume_data(session(), stream_id);
    return;
  }
  stream.answering = true;
  const nghttp2_nv header = StatusHeader();
  const nghttp2_data_provider provider = BodyProvider();
  nghttp2_submit_response(session(), stream_id, &header, 1, &provider);
}

ssize_t PeerServerConnection::ReadBody(int32_t stream_id,
                                       uint8_t* buffer,
                                       size_t capacity,
                                       uint32_t* flags) {
  Stream* const stream = Find(stream_id);
  if (stream == nullptr) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  const size_t size = stream->answer.Read(buffer, capacity);
  answer_bytes_ -= size;
  if (stream->finished && stream->answer.pending_bytes() == 0) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(size);
  }
  if (size == 0) {
    return NGHTTP2_ERR_DEFERRED;
  }
  return static_cast<ssize_t>(size);
}

void PeerServerConnection::Reset(int32_t stream_id, uint32_t error_code) {
  nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, stream_id,
                            error_code);
  Erase(stream_id);
}

void PeerServerConnection::Erase(int32_t stream_id) {
  const auto found = streams_.find(stream_id);
  if (found == streams_.end()) {
    return;
  }
  Stream stream = std::move(found->second);
  streams_.erase(found);
  answer_bytes_ -= stream.answer.pending_bytes();
  if (!stream.dispatched) {
    request_bytes_ -= stream.request.size();
  }
  if (stream.on_cancelled) {
    RunGuarded("cancelled_peer_call", stream.on_cancelled);
  }
}

void PeerServerConnection::OnClosed(const Failure& /*reason*/) {
  mailbox_.Close();
  while (!streams_.empty()) {
    Erase(streams_.begin()->first);
  }
  if (const ClosedHook hook = std::exchange(on_closed_, nullptr)) {
    hook(this);
  }
}

PeerServerConnection::Stream* PeerServerConnection::Find(int32_t stream_id) {
  const auto found = streams_.find(stream_id);
  return found == streams_.end() ? nullptr : &found->second;
}

}  // namespace greengage
