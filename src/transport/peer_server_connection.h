// The server side of one connection between instances.
#ifndef GREENGAGE_TRANSPORT_PEER_SERVER_CONNECTION_H_
#define GREENGAGE_TRANSPORT_PEER_SERVER_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "greengage/transport/peer_link.h"
#include "transport/http2_connection.h"
#include "transport/mailbox.h"
#include "transport/message_framing.h"

namespace greengage {

class PeerServerConnection : public Http2Connection {
 public:
  using ClosedHook = std::function<void(PeerServerConnection*)>;

  // An operation of a handler on one of its streams.
  enum class Operation : uint8_t { kSend, kFinish, kRefuse, kAbandon };
  struct Command {
    int32_t stream_id = 0;
    Operation operation = Operation::kSend;
    std::string message;
  };

  // `on_closed` runs once, on the strand of the connection.
  PeerServerConnection(boost::asio::ip::tcp::socket socket,
                       Strand strand,
                       PeerLimits limits,
                       PeerHandler handler,
                       ClosedHook on_closed);

  // Thread-safe.
  void Start();
  void Stop();
  void Post(Command command);

 private:
  class Handle;

  struct Stream {
    std::string path;
    std::string request;
    MessageEncoder answer;
    std::function<void()> on_cancelled;
    bool dispatched = false;
    bool answering = false;
    bool finished = false;
  };

  void OnRequestStarted(int32_t stream_id) override;
  void OnHeader(int32_t stream_id,
                std::string_view name,
                std::string_view value) override;
  void OnData(int32_t stream_id, std::string_view bytes) override;
  void OnStreamEnded(int32_t stream_id) override;
  void OnStreamClosed(int32_t stream_id, uint32_t error_code) override;
  void OnClosed(const Failure& reason) override;
  void OnInputProcessed() override;
  ssize_t ReadBody(int32_t stream_id,
                   uint8_t* buffer,
                   size_t capacity,
                   uint32_t* flags) override;

  void Execute(Command command);
  void Execute(std::vector<Command> commands);
  void RefuseStream(int32_t stream_id, const Stream& stream);
  void SendMessage(int32_t stream_id, Stream& stream, std::string message);
  void ContinueAnswer(int32_t stream_id, Stream& stream);
  void Reset(int32_t stream_id, uint32_t error_code);
  void Erase(int32_t stream_id);
  Stream* Find(int32_t stream_id);

  const PeerHandler handler_;
  ClosedHook on_closed_;
  Mailbox<Command> mailbox_;
  std::unordered_map<int32_t, Stream> streams_;
  size_t request_bytes_ = 0;  // Total size of incomplete requests.
  size_t answer_bytes_ = 0;   // Total size of unsent responses.
  bool stopping_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_PEER_SERVER_CONNECTION_H_
