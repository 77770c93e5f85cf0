// Callers that send requests from threads of their own for a while.
#ifndef GREENGAGE_TESTS_HARNESS_CALLERS_H_
#define GREENGAGE_TESTS_HARNESS_CALLERS_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

namespace greengage {

// Runs `request` again and again on each of `count` threads, with the thread's
// number and a number that rises with each request of the thread, until
// Stop(). Criterion's assertions do not work in them.
class Callers {
 public:
  Callers(size_t count, std::function<void(size_t, size_t)> request)
      : request_(std::move(request)) {
    for (size_t thread = 0; thread < count; ++thread) {
      threads_.emplace_back([this, thread] {
        for (size_t turn = 0; !stopped_; ++turn) {
          request_(thread, turn);
          ++made_;
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

  // Requests that have ended.
  size_t made() const { return made_; }

 private:
  const std::function<void(size_t, size_t)> request_;
  std::atomic<bool> stopped_{false};
  std::atomic<size_t> made_{0};
  std::vector<std::thread> threads_;
};

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_CALLERS_H_
