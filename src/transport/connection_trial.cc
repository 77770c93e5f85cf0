#include "greengage/transport/connection_trial.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <string_view>
#include <utility>

#include "transport/socket_address.h"
#include "transport/timeout.h"

namespace greengage {
namespace {

namespace asio = boost::asio;

// The first bytes of every answer.
constexpr std::string_view kAnswerStart = "HTTP/1.";

class Trial : public std::enable_shared_from_this<Trial> {
 public:
  Trial(asio::io_context& context,
        std::string request,
        const TrialTimeouts& timeouts,
        std::function<void(TrialResult)> done)
      : socket_(context),
        timeout_(context.get_executor()),
        request_(std::move(request)),
        timeouts_(timeouts),
        done_(std::move(done)) {}

  void Start(const asio::ip::tcp::endpoint& server) {
    EndAfter(timeouts_.connect, TrialResult::kUnreachable);
    socket_.async_connect(server, [self = shared_from_this()](auto error) {
      if (error) {
        self->End(TrialResult::kUnreachable);
      } else {
        self->Send();
      }
    });
  }

 private:
  void Send() {
    EndAfter(timeouts_.answer, TrialResult::kSilent);
    asio::async_write(socket_, asio::buffer(request_),
                      [self = shared_from_this()](auto error, size_t) {
                        if (error) {
                          self->End(TrialResult::kUnreachable);
                        } else {
                          self->Read();
                        }
                      });
  }

  void Read() {
    asio::async_read(socket_, asio::buffer(input_),
                     [self = shared_from_this()](auto error, size_t size) {
                       const std::string_view start(self->input_.data(), size);
                       self->End(!error && start == kAnswerStart
                                     ? TrialResult::kAnswered
                                     : TrialResult::kUnreachable);
                     });
  }

  void EndAfter(std::chrono::milliseconds delay, TrialResult result) {
    timeout_.Set(delay,
                 [self = shared_from_this(), result] { self->End(result); });
  }

  void End(TrialResult result) {
    const auto done = std::exchange(done_, nullptr);
    if (!done) {
      return;
    }
    timeout_.Cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
    done(result);
  }

  asio::ip::tcp::socket socket_;
  Timeout timeout_;
  const std::string request_;
  const TrialTimeouts timeouts_;
  std::array<char, kAnswerStart.size()> input_{};
  std::function<void(TrialResult)> done_;
};

}  // namespace

void TryServer(asio::io_context& context,
               const Endpoint& server,
               const std::string& target,
               const TrialTimeouts& timeouts,
               std::function<void(TrialResult result)> done) {
  const auto address = ToTcp(server);
  if (!address) {
    done(TrialResult::kUnreachable);
    return;
  }
  const std::string request = "GET " + target +
                              " HTTP/1.1\r\nHost: " + ToString(server) +
                              "\r\nConnection: close\r\n\r\n";
  std::make_shared<Trial>(context, request, timeouts, std::move(done))
      ->Start(*address);
}

}  // namespace greengage
