// A timer that calls its handler only if it was not set again or cancelled.
#ifndef GREENGAGE_SRC_TRANSPORT_TIMEOUT_H_
#define GREENGAGE_SRC_TRANSPORT_TIMEOUT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace greengage {

// Cancelling an Asio timer does not stop a handler that is already queued,
// which then runs without an error. Handlers of a Timeout don't run after
// Set(), Cancel() or its destruction. Not thread-safe: all functions must be
// called on the executor, which must be a strand or run on one thread. Only the
// destructor may run elsewhere.
class Timeout {
 public:
  explicit Timeout(const boost::asio::any_io_executor& executor)
      : timer_(executor) {}
  ~Timeout() { Cancel(); }

  Timeout(const Timeout&) = delete;
  Timeout& operator=(const Timeout&) = delete;

  // Calls `on_expired` after `delay`, in place of an earlier handler.
  void Set(std::chrono::milliseconds delay, std::function<void()> on_expired) {
    timer_.expires_after(delay);
    timer_.async_wait([current = current_, number = ++*current_,
                       on_expired = std::move(on_expired)](
                          const boost::system::error_code& error) {
      if (!error && *current == number) {
        on_expired();
      }
    });
  }

  void Cancel() {
    ++*current_;
    timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  // Number of the latest Set() or Cancel().
  const std::shared_ptr<std::atomic<uint64_t>> current_ =
      std::make_shared<std::atomic<uint64_t>>(0);
};

}  // namespace greengage

#endif  // GREENGAGE_SRC_TRANSPORT_TIMEOUT_H_
