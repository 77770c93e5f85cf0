// A TCP server whose answers never end.
#ifndef GREENGAGE_TESTS_HARNESS_ENDLESS_SERVER_H_
#define GREENGAGE_TESTS_HARNESS_ENDLESS_SERVER_H_

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "greengage/state/endpoint.h"

namespace greengage {

// Answers the first request of each connection with `start`, followed by
// `piece` again and again until the client closes the connection or
// `max_pieces` are sent. It then leaves the connection open. Requests must have
// no body.
class EndlessServer : public std::enable_shared_from_this<EndlessServer> {
 public:
  struct Answer {
    std::string start;
    std::string piece;
    size_t max_pieces = SIZE_MAX;
  };

  static std::shared_ptr<EndlessServer> Start(boost::asio::io_context& context,
                                              Answer answer) {
    std::shared_ptr<EndlessServer> server(
        new EndlessServer(context, std::move(answer)));
    server->Accept();
    return server;
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  struct Session {
    explicit Session(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)) {}
    boost::asio::ip::tcp::socket socket;
    std::string input;
    size_t pieces = 0;
  };

  EndlessServer(boost::asio::io_context& context, Answer answer)
      : acceptor_(context, {boost::asio::ip::address_v4::loopback(), 0}),
        answer_(std::move(answer)) {}

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](auto error, auto socket) {
          if (!error) {
            self->ReadRequest(std::make_shared<Session>(std::move(socket)));
            self->Accept();
          }
        });
  }

  void ReadRequest(const std::shared_ptr<Session>& session) {
    boost::asio::async_read_until(
        session->socket, boost::asio::dynamic_buffer(session->input),
        "\r\n\r\n", [self = shared_from_this(), session](auto error, size_t) {
          if (!error) {
            self->Send(session, self->answer_.start);
          }
        });
  }

  void Send(const std::shared_ptr<Session>& session, const std::string& bytes) {
    boost::asio::async_write(
        session->socket, boost::asio::buffer(bytes),
        [self = shared_from_this(), session](auto error, size_t) {
          if (error) {
            return;
          }
          if (session->pieces++ < self->answer_.max_pieces) {
            self->Send(session, self->answer_.piece);
            return;
          }
          self->WaitForEnd(session);
        });
  }

  void WaitForEnd(const std::shared_ptr<Session>& session) {
    session->socket.async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [self = shared_from_this(), session](auto /*error*/) {});
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  const Answer answer_;
};

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_ENDLESS_SERVER_H_
