#include "greengage/transport/connection_trial.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <utility>

#include "transport/socket_address.h"

namespace greengage {
namespace {

namespace asio = boost::asio;

class Trial : public std::enable_shared_from_this<Trial> {
 public:
  Trial(asio::io_context& context, std::function<void(bool)> done)
      : socket_(context), timer_(context), done_(std::move(done)) {}

  void Start(const asio::ip::tcp::endpoint& server,
             std::chrono::milliseconds timeout,
             std::chrono::milliseconds hold_time) {
    EndAfter(timeout, false);
    socket_.async_connect(server,
                          [self = shared_from_this(), hold_time](auto error) {
                            if (error) {
                              self->End(false);
                            } else {
                              self->Hold(hold_time);
                            }
                          });
  }

 private:
  void Hold(std::chrono::milliseconds hold_time) {
    EndAfter(hold_time, true);
    socket_.async_read_some(
        asio::buffer(input_),
        [self = shared_from_this()](auto, size_t) { self->End(false); });
  }

  void EndAfter(std::chrono::milliseconds delay, bool succeeded) {
    timer_.expires_after(delay);
    timer_.async_wait([self = shared_from_this(), succeeded](auto error) {
      if (!error) {
        self->End(succeeded);
      }
    });
  }

  void End(bool succeeded) {
    const auto done = std::exchange(done_, nullptr);
    if (!done) {
      return;
    }
    timer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
    done(succeeded);
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 1> input_{};
  std::function<void(bool)> done_;
};

}  // namespace

void TryConnection(asio::io_context& context,
                   const Endpoint& server,
                   std::chrono::milliseconds timeout,
                   std::chrono::milliseconds hold_time,
                   std::function<void(bool succeeded)> done) {
  const auto address = ToTcp(server);
  if (!address) {
    done(false);
    return;
  }
  std::make_shared<Trial>(context, std::move(done))
      ->Start(*address, timeout, hold_time);
}

}  // namespace greengage
