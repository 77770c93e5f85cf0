// Forwards the C callbacks of nghttp2 to the virtual functions of
// Http2Connection.
#include "transport/http2_connection.h"

namespace greengage {

struct Http2Connection::Callbacks {
  static Http2Connection* From(void* user_data) {
    return static_cast<Http2Connection*>(user_data);
  }

  static std::string_view View(const uint8_t* bytes, size_t size) {
    return {reinterpret_cast<const char*>(bytes), size};
  }

  static int BeginHeaders(nghttp2_session* /*session*/,
                          const nghttp2_frame* frame,
                          void* user_data) {
    if (frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      From(user_data)->OnRequestStarted(frame->hd.stream_id);
    }
    return 0;
  }

  static int Header(nghttp2_session* /*session*/,
                    const nghttp2_frame* frame,
                    const uint8_t* name,
                    size_t name_size,
                    const uint8_t* value,
                    size_t value_size,
                    uint8_t /*flags*/,
                    void* user_data) {
    From(user_data)->OnHeader(frame->hd.stream_id, View(name, name_size),
                              View(value, value_size));
    return 0;
  }

  static int DataChunk(nghttp2_session* /*session*/,
                       uint8_t /*flags*/,
                       int32_t stream_id,
                       const uint8_t* data,
                       size_t size,
                       void* user_data) {
    From(user_data)->OnData(stream_id, View(data, size));
    return 0;
  }

  static int FrameReceived(nghttp2_session* /*session*/,
                           const nghttp2_frame* frame,
                           void* user_data) {
    Http2Connection* const connection = From(user_data);
    switch (frame->hd.type) {
      case NGHTTP2_HEADERS:
      case NGHTTP2_DATA:
        if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
          connection->OnStreamEnded(frame->hd.stream_id);
        }
        break;
      case NGHTTP2_SETTINGS:
        if ((frame->hd.flags & NGHTTP2_FLAG_ACK) == 0) {
          connection->OnSettings();
        }
        break;
      case NGHTTP2_GOAWAY:
        connection->OnGoaway();
        break;
      default:
        break;
    }
    return 0;
  }

  static int StreamClosed(nghttp2_session* /*session*/,
                          int32_t stream_id,
                          uint32_t error_code,
                          void* user_data) {
    From(user_data)->OnStreamClosed(stream_id, error_code);
    return 0;
  }

  static int BeforeFrameSent(nghttp2_session* /*session*/,
                             const nghttp2_frame* frame,
                             void* user_data) {
    if (frame->hd.type == NGHTTP2_HEADERS) {
      From(user_data)->OnHeadersSerialized(frame->hd.stream_id);
    }
    return 0;
  }

  static int FrameNotSent(nghttp2_session* /*session*/,
                          const nghttp2_frame* frame,
                          int /*error*/,
                          void* user_data) {
    if (frame->hd.type == NGHTTP2_HEADERS) {
      From(user_data)->OnHeadersNotSent(frame->hd.stream_id);
    }
    return 0;
  }

  static ssize_t ReadData(nghttp2_session* /*session*/,
                          int32_t stream_id,
                          uint8_t* buffer,
                          size_t capacity,
                          uint32_t* flags,
                          nghttp2_data_source* /*source*/,
                          void* user_data) {
    return From(user_data)->ReadBody(stream_id, buffer, capacity, flags);
  }
};

void Http2Connection::CreateSession(Role role) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
      callbacks, Callbacks::BeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   Callbacks::Header);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      callbacks, Callbacks::DataChunk);
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      callbacks, Callbacks::FrameReceived);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, Callbacks::StreamClosed);
  nghttp2_session_callbacks_set_before_frame_send_callback(
      callbacks, Callbacks::BeforeFrameSent);
  nghttp2_session_callbacks_set_on_frame_not_send_callback(
      callbacks, Callbacks::FrameNotSent);

  nghttp2_option* options = nullptr;
  nghttp2_option_new(&options);
  nghttp2_option_set_no_closed_streams(options, 1);

  if (role == Role::kServer) {
    nghttp2_session_server_new2(&session_, callbacks, this, options);
  } else {
    nghttp2_session_client_new2(&session_, callbacks, this, options);
  }
  nghttp2_option_del(options);
  nghttp2_session_callbacks_del(callbacks);
}

nghttp2_data_provider Http2Connection::BodyProvider() {
  nghttp2_data_provider provider{};
  provider.read_callback = Callbacks::ReadData;
  return provider;
}

}  // namespace greengage
