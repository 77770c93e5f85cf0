// A TCP server that answers every request with the same bytes.
#ifndef GREENGAGE_TESTS_HARNESS_SCRIPTED_SERVER_H_
#define GREENGAGE_TESTS_HARNESS_SCRIPTED_SERVER_H_

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "greengage/state/endpoint.h"

namespace greengage {

// Sends `answer` at the end of each request's header and then, if `close` is
// set, closes the connection. Requests must have no body.
class ScriptedServer : public std::enable_shared_from_this<ScriptedServer> {
 public:
  static std::shared_ptr<ScriptedServer> Start(boost::asio::io_context& context,
                                               std::string answer,
                                               bool close) {
    std::shared_ptr<ScriptedServer> server(
        new ScriptedServer(context, std::move(answer), close));
    server->Accept();
    return server;
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

  size_t accepted() const { return accepted_; }
  size_t requests() const { return requests_; }

 private:
  struct Session {
    explicit Session(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)) {}
    boost::asio::ip::tcp::socket socket;
    std::string input;
  };

  ScriptedServer(boost::asio::io_context& context,
                 std::string answer,
                 bool close)
      : acceptor_(context, {boost::asio::ip::address_v4::loopback(), 0}),
        answer_(std::move(answer)),
        close_(close) {}

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](auto error, auto socket) {
          if (error) {
            return;
          }
          ++self->accepted_;
          self->Serve(std::make_shared<Session>(std::move(socket)));
          self->Accept();
        });
  }

  void Serve(const std::shared_ptr<Session>& session) {
    boost::asio::async_read_until(
        session->socket, boost::asio::dynamic_buffer(session->input),
        "\r\n\r\n",
        [self = shared_from_this(), session](auto error, size_t size) {
          if (error) {
            return;
          }
          session->input.erase(0, size);
          ++self->requests_;
          boost::asio::write(session->socket,
                             boost::asio::buffer(self->answer_), error);
          if (!self->close_) {
            self->Serve(session);
          }
        });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  const std::string answer_;
  const bool close_;
  std::atomic<size_t> accepted_ = 0;
  std::atomic<size_t> requests_ = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_SCRIPTED_SERVER_H_
