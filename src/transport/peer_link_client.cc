// PeerClient: keeps one usable connection and opens streams on it.
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <mutex>
#include <utility>
#include <vector>

#include "greengage/transport/peer_link.h"
#include "transport/peer_client_connection.h"

namespace greengage {
namespace {

namespace asio = boost::asio;

class PeerClientImpl : public PeerClient {
 public:
  PeerClientImpl(asio::io_context& context,
                 const Endpoint& server,
                 PeerLimits limits)
      : context_(context), server_(server), limits_(limits) {}

  ~PeerClientImpl() override { CloseConnections(); }

  StreamId Open(std::string path,
                std::string message,
                TimePoint deadline,
                MessageHook on_message,
                EndHook on_end) override {
    const bool too_large = message.size() > limits_.message_bytes;
    auto stream = std::make_unique<PeerClientStream>(
        PeerClientStream{.path = std::move(path),
                         .request = std::move(message),
                         .deadline = deadline,
                         .on_message = std::move(on_message),
                         .on_end = std::move(on_end),
                         .decoder = MessageDecoder(limits_.message_bytes)});
    if (too_large) {
      Reject(std::move(stream), FailureKind::kTooLarge, "request");
      return 0;
    }
    return OpenOnConnection(std::move(stream));
  }

  void Cancel(StreamId id) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& weak : connections_) {
      if (const auto connection = weak.lock()) {
        connection->Cancel(id);
      }
    }
  }

  void Close() override { CloseConnections(); }

 private:
  StreamId OpenOnConnection(std::unique_ptr<PeerClientStream> stream) {
    std::unique_lock<std::mutex> lock(mutex_);
    const StreamId id = ++last_id_;
    stream->id = id;
    if (closed_) {
      lock.unlock();
      Reject(std::move(stream), FailureKind::kConnectionClosed,
             "the link was closed");
      return id;
    }
    if (current_ == nullptr || !current_->Open(stream)) {
      Reconnect();
      // Before the start, since a failed connection takes no streams.
      current_->Open(stream);
      current_->Start();
    }
    return id;
  }

  void Reconnect() {
    current_ = std::make_shared<PeerClientConnection>(
        asio::make_strand(context_), server_, limits_);
    std::erase_if(connections_,
                  [](const auto& weak) { return weak.expired(); });
    connections_.push_back(current_);
  }

  void CloseConnections() {
    const std::lock_guard<std::mutex> lock(mutex_);
    closed_ = true;
    current_.reset();
    for (const auto& weak : connections_) {
      if (const auto connection = weak.lock()) {
        connection->Shutdown();
      }
    }
    connections_.clear();
  }

  void Reject(std::unique_ptr<PeerClientStream> stream,
              FailureKind kind,
              std::string detail) {
    PeerStreamResult end{Failure{kind, ToString(server_), std::move(detail)},
                         true};
    asio::post(context_,
               [on_end = std::move(stream->on_end), end] { on_end(end); });
  }

  asio::io_context& context_;
  const Endpoint server_;
  const PeerLimits limits_;
  std::mutex mutex_;
  std::shared_ptr<PeerClientConnection> current_;
  // All that may still have streams under way, the current one included.
  std::vector<std::weak_ptr<PeerClientConnection>> connections_;
  StreamId last_id_ = 0;
  bool closed_ = false;
};

}  // namespace

std::shared_ptr<PeerClient> PeerClient::Create(asio::io_context& context,
                                               const Endpoint& server,
                                               PeerLimits limits) {
  return std::make_shared<PeerClientImpl>(context, server, limits);
}

}  // namespace greengage
