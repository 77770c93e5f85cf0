#include "transport/http2_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <vector>

namespace greengage {
namespace {

namespace asio = boost::asio;

constexpr size_t kReadBytes = size_t{64} * 1024;
constexpr size_t kMaxReadsPerWakeup = 16;
constexpr size_t kOutputBatchBytes = size_t{256} * 1024;
constexpr size_t kMaxIdleOutputBytes = size_t{16} * 1024;
constexpr size_t kConnectionWindowBytes = size_t{16} * 1024 * 1024;
constexpr std::chrono::milliseconds kLingerTimeout{2000};
constexpr std::chrono::seconds kKeepaliveIdle{10};
constexpr std::chrono::seconds kKeepaliveInterval{2};
constexpr int kKeepaliveProbes = 3;

void SetTcpOption(int socket, int option, int value) {
  setsockopt(socket, IPPROTO_TCP, option, &value, sizeof(value));
}

// Returns the input buffer shared by all connections of a thread, so that idle
// connections need no buffer.
std::vector<uint8_t>& ReadBuffer() {
  thread_local std::vector<uint8_t> buffer(kReadBytes);
  return buffer;
}

}  // namespace

Http2Connection::Http2Connection(asio::ip::tcp::socket socket,
                                 Strand strand,
                                 PeerLimits limits)
    : socket_(std::move(socket)), strand_(std::move(strand)), limits_(limits) {}

Http2Connection::~Http2Connection() {
  nghttp2_session_del(session_);
}

bool Http2Connection::StartSession(Role role) {
  boost::system::error_code error;
  socket_.non_blocking(true, error);
  if (error) {
    return false;
  }
  ConfigureSocket();
  CreateSession(role);
  SubmitSettings(role);
  WaitReadable();
  return true;
}

void Http2Connection::ConfigureSocket() {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.set_option(asio::socket_base::keep_alive(true), ignored);
  const int handle = socket_.native_handle();
  SetTcpOption(handle, TCP_KEEPIDLE, static_cast<int>(kKeepaliveIdle.count()));
  SetTcpOption(handle, TCP_KEEPINTVL,
               static_cast<int>(kKeepaliveInterval.count()));
  SetTcpOption(handle, TCP_KEEPCNT, kKeepaliveProbes);
}

void Http2Connection::SubmitSettings(Role role) {
  constexpr size_t kMaxWindow = std::numeric_limits<int32_t>::max();
  const size_t stream_window =
      std::min(limits_.message_bytes + kReadBytes, kMaxWindow);
  const size_t connection_window =
      std::max(stream_window, kConnectionWindowBytes);
  std::vector<nghttp2_settings_entry> settings = {
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
       static_cast<uint32_t>(stream_window)},
      {NGHTTP2_SETTINGS_NO_RFC7540_PRIORITIES, 1},
  };
  if (role == Role::kServer) {
    settings.push_back({NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                        static_cast<uint32_t>(limits_.streams)});
  } else {
    settings.push_back({NGHTTP2_SETTINGS_ENABLE_PUSH, 0});
  }
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(
      session_, NGHTTP2_FLAG_NONE, 0, static_cast<int32_t>(connection_window));
}

void Http2Connection::WaitReadable() {
  socket_.async_wait(
      asio::ip::tcp::socket::wait_read,
      asio::bind_executor(strand_, [self = shared_from_this()](
                                       boost::system::error_code error) {
        if (!error && !self->closed_) {
          self->ReadAvailable();
        }
      }));
}

void Http2Connection::ReadAvailable() {
  std::vector<uint8_t>& buffer = ReadBuffer();
  for (size_t reads = 0; reads < kMaxReadsPerWakeup; ++reads) {
    boost::system::error_code error;
    const size_t size = socket_.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block) {
      break;
    }
    if (error) {
      EndInput({FailureKind::kConnectionClosed, "peer", error.message()});
      return;
    }
    if (!Receive(buffer.data(), size)) {
      return;
    }
    if (size < buffer.size()) {
      break;
    }
  }
  OnInputProcessed();
  Flush();
  if (!closed_) {
    WaitReadable();
  }
}

bool Http2Connection::Receive(const uint8_t* bytes, size_t size) {
  OnBytesReceived();
  const ssize_t used = nghttp2_session_mem_recv(session_, bytes, size);
  if (used >= 0) {
    return true;
  }
  Flush();
  EndInput({FailureKind::kMalformedMessage, "peer",
            nghttp2_strerror(static_cast<int>(used))});
  return false;
}

void Http2Connection::EndInput(const Failure& reason) {
  OnInputProcessed();
  Close(reason);
}

void Http2Connection::Flush() {
  if (closed_ || session_ == nullptr || waiting_writable_) {
    return;
  }
  while (FillOutput()) {
    if (!WriteOutput()) {
      return;
    }
  }
  FinishIfDrained();
}

bool Http2Connection::FillOutput() {
  while (output_.size() < kOutputBatchBytes) {
    const uint8_t* bytes = nullptr;
    const ssize_t size = nghttp2_session_mem_send(session_, &bytes);
    if (size <= 0) {
      break;
    }
    serialized_bytes_ += static_cast<uint64_t>(size);
    output_.append(reinterpret_cast<const char*>(bytes),
                   static_cast<size_t>(size));
  }
  return !output_.empty();
}

// Returns false if the connection was closed or must wait until it is writable.
bool Http2Connection::WriteOutput() {
  while (output_offset_ < output_.size()) {
    boost::system::error_code error;
    const size_t size =
        socket_.write_some(asio::buffer(output_) + output_offset_, error);
    output_offset_ += size;
    written_bytes_ += size;
    if (error == asio::error::would_block) {
      WaitWritable();
      return false;
    }
    if (error) {
      // Pending input may contain a GOAWAY or REFUSED_STREAM, which proves that
      // requests were not executed.
      waiting_writable_ = true;
      ReadAvailable();
      Close({FailureKind::kConnectionClosed, "peer", error.message()});
      return false;
    }
  }
  output_offset_ = 0;
  output_.clear();
  if (output_.capacity() > kMaxIdleOutputBytes) {
    output_ = std::string();
  }
  return true;
}

void Http2Connection::WaitWritable() {
  waiting_writable_ = true;
  socket_.async_wait(
      asio::ip::tcp::socket::wait_write,
      asio::bind_executor(strand_, [self = shared_from_this()](
                                       boost::system::error_code error) {
        self->waiting_writable_ = false;
        if (!error) {
          self->Flush();
        }
      }));
}

// After a GOAWAY in either direction and the end of the last stream, shuts down
// the sending side and closes the socket unless the peer closes it within
// kLingerTimeout.
void Http2Connection::FinishIfDrained() {
  if (sending_ended_ || nghttp2_session_want_read(session_) != 0 ||
      nghttp2_session_want_write(session_) != 0) {
    return;
  }
  sending_ended_ = true;
  boost::system::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  auto timer = std::make_shared<asio::steady_timer>(strand_, kLingerTimeout);
  timer->async_wait(
      [timer, weak = weak_from_this()](boost::system::error_code /*error*/) {
        if (const auto self = weak.lock()) {
          self->Close({FailureKind::kConnectionClosed, "peer", "closed"});
        }
      });
}

void Http2Connection::Close(const Failure& reason) {
  if (closed_) {
    return;
  }
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
  OnClosed(reason);
}

}  // namespace greengage
