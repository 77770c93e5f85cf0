#include "tests/harness/raw_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace greengage {

namespace asio = boost::asio;

struct RawServer::Session {
  Session(asio::ip::tcp::socket accepted, size_t number)
      : socket(std::move(accepted)),
        timer(socket.get_executor()),
        connection(number) {}

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  const size_t connection;
  std::string input;
  RawReply reply;
};

std::string RawRequest::Header(std::string_view name) const {
  const std::string start = "\r\n" + std::string(name) + ": ";
  const size_t at = head.find(start);
  if (at == std::string::npos) {
    return "";
  }
  const size_t value = at + start.size();
  return head.substr(value, head.find('\r', value) - value);
}

std::string HttpBytes(unsigned status,
                      const std::string& headers,
                      const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::shared_ptr<RawServer> RawServer::Start(asio::io_context& context,
                                            Handler handler) {
  std::shared_ptr<RawServer> server(new RawServer(context, std::move(handler)));
  server->Accept();
  return server;
}

RawServer::RawServer(asio::io_context& context, Handler handler)
    : context_(context),
      acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
      endpoint_{"127.0.0.1", acceptor_.local_endpoint().port()},
      handler_(std::move(handler)) {}

void RawServer::Stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  CloseConnections();
}

void RawServer::CloseConnections() {
  boost::system::error_code ignored;
  for (const std::weak_ptr<Session>& weak : sessions_) {
    if (const auto session = weak.lock()) {
      session->socket.close(ignored);
    }
  }
}

void RawServer::Accept() {
  acceptor_.async_accept([self = shared_from_this()](auto error, auto socket) {
    if (error) {
      return;
    }
    ++self->accepted_;
    const auto session =
        std::make_shared<Session>(std::move(socket), self->accepted_);
    self->sessions_.push_back(session);
    self->ReadHead(session);
    self->Accept();
  });
}

void RawServer::ReadHead(const std::shared_ptr<Session>& session) {
  asio::async_read_until(
      session->socket, asio::dynamic_buffer(session->input), "\r\n\r\n",
      [self = shared_from_this(), session](auto error, size_t size) {
        if (!error) {
          self->ReadBody(session, size);
        }
      });
}

void RawServer::ReadBody(const std::shared_ptr<Session>& session,
                         size_t head_bytes) {
  RawRequest request;
  request.head = session->input.substr(0, head_bytes);
  request.connection = session->connection;
  const std::string length = request.Header("Content-Length");
  const size_t body_bytes = length.empty() ? 0 : std::stoul(length);
  const size_t have = session->input.size() - head_bytes;
  auto answer = [self = shared_from_this(), session, request, head_bytes,
                 body_bytes](auto error, size_t) mutable {
    if (error) {
      return;
    }
    request.body = session->input.substr(head_bytes, body_bytes);
    session->input.erase(0, head_bytes + body_bytes);
    self->Answer(session, request);
  };
  asio::async_read(
      session->socket, asio::dynamic_buffer(session->input),
      asio::transfer_exactly(body_bytes > have ? body_bytes - have : 0),
      std::move(answer));
}

void RawServer::Answer(const std::shared_ptr<Session>& session,
                       const RawRequest& request) {
  ++requests_;
  session->reply = handler_(request);
  session->timer.expires_after(session->reply.delay);
  session->timer.async_wait([self = shared_from_this(), session](auto) {
    asio::async_write(session->socket, asio::buffer(session->reply.bytes),
                      [self, session](auto error, size_t) {
                        if (!error && session->reply.reset) {
                          session->socket.set_option(
                              asio::socket_base::linger(true, 0), error);
                          session->socket.close(error);
                        } else if (!error && !session->reply.close) {
                          self->ReadHead(session);
                        }
                      });
  });
}

}  // namespace greengage
