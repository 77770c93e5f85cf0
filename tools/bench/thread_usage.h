// CPU time and memory allocations of single threads.
#ifndef TOOLS_BENCH_THREAD_USAGE_H_
#define TOOLS_BENCH_THREAD_USAGE_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <thread>

namespace greengage::bench {

// What one thread has used since its start.
struct ThreadUsage {
  std::chrono::nanoseconds cpu{};     // In all.
  std::chrono::nanoseconds system{};  // In the kernel, as far as it samples.
  uint64_t allocations = 0;
  int64_t live_bytes = 0;  // Allocated less freed, by this thread.
};

ThreadUsage operator-(const ThreadUsage& after, const ThreadUsage& before);

// Of the calling thread.
ThreadUsage ReadThreadUsage();

// An io_context that runs on one thread of its own.
class MeasuredThread {
 public:
  MeasuredThread();
  ~MeasuredThread();
  MeasuredThread(const MeasuredThread&) = delete;
  MeasuredThread& operator=(const MeasuredThread&) = delete;

  boost::asio::io_context& context() { return context_; }

  // Ends the thread; what belongs to the context may be destroyed after that.
  void Stop();

  // Waits until the thread has read its own usage.
  ThreadUsage Usage();

 private:
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::thread thread_;
};

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_THREAD_USAGE_H_
