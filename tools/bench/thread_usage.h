// CPU time and memory allocations of single threads.
#ifndef TOOLS_BENCH_THREAD_USAGE_H_
#define TOOLS_BENCH_THREAD_USAGE_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <thread>

namespace greengage::bench {

// Resources that one thread has used since its start.
struct ThreadUsage {
  std::chrono::nanoseconds cpu{};     // User and system time.
  std::chrono::nanoseconds system{};  // Sampled by the kernel.
  uint64_t allocations = 0;
  int64_t live_bytes = 0;  // Allocated less freed, by this thread.
};

ThreadUsage operator-(const ThreadUsage& after, const ThreadUsage& before);

// Returns the usage of the calling thread.
ThreadUsage ReadThreadUsage();

// An io_context that runs on a dedicated thread.
class MeasuredThread {
 public:
  MeasuredThread();
  ~MeasuredThread();
  MeasuredThread(const MeasuredThread&) = delete;
  MeasuredThread& operator=(const MeasuredThread&) = delete;

  boost::asio::io_context& context() { return context_; }

  // Stops the context and joins the thread. Objects that use the context may be
  // destroyed afterwards.
  void Stop();

  // Returns the usage of the thread. Blocks until the thread has read it.
  ThreadUsage Usage();

 private:
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::thread thread_;
};

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_THREAD_USAGE_H_
