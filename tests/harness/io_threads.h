// An io_context that runs on dedicated threads until its destruction.
#ifndef GREENGAGE_TESTS_HARNESS_IO_THREADS_H_
#define GREENGAGE_TESTS_HARNESS_IO_THREADS_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <thread>
#include <vector>

namespace greengage {

class IoThreads {
 public:
  explicit IoThreads(size_t threads) : guard_(context_.get_executor()) {
    for (size_t i = 0; i < threads; ++i) {
      threads_.emplace_back([this] { context_.run(); });
    }
  }

  ~IoThreads() {
    context_.stop();
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }

  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  boost::asio::io_context& context() { return context_; }

 private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::vector<std::thread> threads_;
};

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_IO_THREADS_H_
