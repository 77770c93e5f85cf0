#include "tools/bench/thread_usage.h"

#include <malloc.h>
#include <sys/resource.h>
#include <time.h>

#include <boost/asio/post.hpp>

#include <cstddef>
#include <cstdlib>
#include <future>
#include <new>

namespace greengage::bench {
namespace {

// NOLINTNEXTLINE(readability-identifier-naming)
thread_local uint64_t allocations = 0;
// NOLINTNEXTLINE(readability-identifier-naming)
thread_local int64_t live_bytes = 0;

std::chrono::nanoseconds CpuTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

std::chrono::nanoseconds SystemTime() {
  rusage usage{};
  getrusage(RUSAGE_THREAD, &usage);
  return std::chrono::seconds(usage.ru_stime.tv_sec) +
         std::chrono::microseconds(usage.ru_stime.tv_usec);
}

}  // namespace

// Declared for operator new and delete, which are defined outside the
// namespace.
void* Allocate(size_t size);
void Free(void* memory);

void* Allocate(size_t size) {
  void* const memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  ++allocations;
  live_bytes += static_cast<int64_t>(malloc_usable_size(memory));
  return memory;
}

void Free(void* memory) {
  if (memory != nullptr) {
    live_bytes -= static_cast<int64_t>(malloc_usable_size(memory));
    std::free(memory);
  }
}

ThreadUsage operator-(const ThreadUsage& after, const ThreadUsage& before) {
  return {after.cpu - before.cpu, after.system - before.system,
          after.allocations - before.allocations,
          after.live_bytes - before.live_bytes};
}

ThreadUsage ReadThreadUsage() {
  return {CpuTime(), SystemTime(), allocations, live_bytes};
}

MeasuredThread::MeasuredThread()
    : guard_(context_.get_executor()), thread_([this] { context_.run(); }) {}

MeasuredThread::~MeasuredThread() {
  Stop();
}

void MeasuredThread::Stop() {
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

ThreadUsage MeasuredThread::Usage() {
  std::promise<ThreadUsage> usage;
  boost::asio::post(context_, [&] { usage.set_value(ReadThreadUsage()); });
  return usage.get_future().get();
}

}  // namespace greengage::bench

// The array and nothrow forms call this operator.
void* operator new(size_t size) {
  return greengage::bench::Allocate(size);
}

void operator delete(void* memory) noexcept {
  greengage::bench::Free(memory);
}

void operator delete(void* memory, size_t /*size*/) noexcept {
  greengage::bench::Free(memory);
}
