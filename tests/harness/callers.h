// Background threads that send requests for the duration of a test.
#ifndef GREENGAGE_TESTS_HARNESS_CALLERS_H_
#define GREENGAGE_TESTS_HARNESS_CALLERS_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

namespace greengage {

// Calls `request` repeatedly on each of `count` threads until Stop(), with the
// index of the thread and the index of the request within its thread. Criterion
// assertions do not work on these threads.
class Callers {
 public:
  Callers(size_t count, std::function<void(size_t, size_t)> request)
      : request_(std::move(request)) {
    for (size_t thread = 0; thread < count; ++thread) {
      threads_.emplace_back([this, thread] {
        for (size_t index = 0; !stopped_; ++index) {
          request_(thread, index);
          ++completed_;
        }
      });
    }
  }

  ~Callers() { Stop(); }

  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Stop() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  // Returns the number of requests that have ended.
  size_t completed() const { return completed_; }

 private:
  const std::function<void(size_t, size_t)> request_;
  std::atomic<bool> stopped_{false};
  std::atomic<size_t> completed_{0};
  std::vector<std::thread> threads_;
};

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_CALLERS_H_
