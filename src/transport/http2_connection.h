// An HTTP/2 connection: nghttp2 on a non-blocking TCP socket.
#ifndef GREENGAGE_TRANSPORT_HTTP2_CONNECTION_H_
#define GREENGAGE_TRANSPORT_HTTP2_CONNECTION_H_

#include <nghttp2/nghttp2.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "greengage/state/failure.h"
#include "greengage/transport/peer_link.h"

namespace greengage {

// Base class of client and server connections. Everything except the destructor
// runs on the strand of the connection. The On...() functions run inside
// nghttp2 unless stated otherwise, where they must not call Flush() or Close().
class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
 public:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;
  virtual ~Http2Connection();

 protected:
  enum class Role : uint8_t { kClient, kServer };

  Http2Connection(boost::asio::ip::tcp::socket socket,
                  Strand strand,
                  PeerLimits limits);

  // Starts nghttp2 on the connected socket. Returns false if the socket is
  // unusable.
  bool StartSession(Role role);

  // Writes the pending output of nghttp2 in few system calls. Ends the
  // connection if a GOAWAY was sent or received and all streams have ended.
  void Flush();

  // Closes the socket and runs OnClosed(). Only the first call has an effect.
  void Close(const Failure& reason);

  // Stream events. `stream_id` is the HTTP/2 stream id.
  virtual void OnRequestStarted(int32_t /*stream_id*/) {}
  virtual void OnHeader(int32_t stream_id,
                        std::string_view name,
                        std::string_view value) = 0;
  virtual void OnData(int32_t stream_id, std::string_view bytes) = 0;
  virtual void OnStreamEnded(int32_t stream_id) = 0;
  virtual void OnStreamClosed(int32_t stream_id, uint32_t error_code) = 0;
  virtual void OnHeadersSerialized(int32_t /*stream_id*/) {}
  virtual void OnHeadersNotSent(int32_t /*stream_id*/) {}

  // Connection events.
  virtual void OnSettings() {}
  virtual void OnGoaway() {}
  virtual void OnBytesReceived() {}
  virtual void OnClosed(const Failure& reason) = 0;

  // Runs after a batch of input, outside nghttp2 and before Flush().
  virtual void OnInputProcessed() = 0;

  // Copies the next bytes of the body of a stream to `buffer` and returns their
  // number. Sets NGHTTP2_DATA_FLAG_EOF in `flags` at the end of the body. May
  // return NGHTTP2_ERR_DEFERRED.
  virtual ssize_t ReadBody(int32_t stream_id,
                           uint8_t* buffer,
                           size_t capacity,
                           uint32_t* flags) = 0;

  // Returns a data provider that reads the body of a stream with ReadBody().
  static nghttp2_data_provider BodyProvider();

  nghttp2_session* session() { return session_; }
  boost::asio::ip::tcp::socket& socket() { return socket_; }
  const Strand& strand() const { return strand_; }
  const PeerLimits& limits() const { return limits_; }
  bool closed() const { return closed_; }

  // Total bytes serialized by nghttp2, and total bytes written to the socket.
  uint64_t serialized_bytes() const { return serialized_bytes_; }
  uint64_t written_bytes() const { return written_bytes_; }

 private:
  struct Callbacks;  // C callbacks of nghttp2.

  void CreateSession(Role role);
  void ConfigureSocket();
  void SubmitSettings(Role role);
  void WaitReadable();
  void WaitWritable();
  void ReadAvailable();
  bool Receive(const uint8_t* bytes, size_t size);
  bool FillOutput();
  bool WriteOutput();
  void EndInput(const Failure& reason);
  void FinishIfDrained();

  boost::asio::ip::tcp::socket socket_;
  const Strand strand_;
  const PeerLimits limits_;
  nghttp2_session* session_ = nullptr;
  std::string output_;
  size_t output_offset_ = 0;
  uint64_t serialized_bytes_ = 0;
  uint64_t written_bytes_ = 0;
  bool waiting_writable_ = false;
  bool sending_ended_ = false;
  bool closed_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_HTTP2_CONNECTION_H_
