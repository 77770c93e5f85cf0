// Measures throughput, CPU time and allocations of the peer link between two
// instances over loopback, with one thread per instance. Wall-clock figures
// vary between runs.
#include <cstdint>
#include <future>
#include <iostream>
#include <memory>
#include <string>

#include "greengage/transport/peer_link.h"
#include "tools/bench/thread_usage.h"

namespace greengage::bench {
namespace {

constexpr uint64_t kStreamCount = 100000;
constexpr size_t kMessageBytes = 512;
constexpr std::chrono::seconds kTimeout{60};

// Opens kStreamCount streams and keeps `concurrent` of them in flight.
class StreamLoad {
 public:
  StreamLoad(PeerClient& client, uint64_t concurrent) : client_(client) {
    for (uint64_t i = 0; i < concurrent; ++i) {
      OpenNext();
    }
  }

  void Wait() { done_.get_future().wait(); }
  uint64_t failures() const { return failures_; }

 private:
  void OpenNext() {
    if (opened_++ >= kStreamCount) {
      return;
    }
    client_.Open(
        "/sub-requests", std::string(kMessageBytes, 'x'),
        std::chrono::steady_clock::now() + kTimeout, [](const std::string&) {},
        [this](const PeerStreamResult& result) {
          failures_ += result.failure ? 1 : 0;
          if (++ended_ == kStreamCount) {
            done_.set_value();
            return;
          }
          OpenNext();
        });
  }

  PeerClient& client_;
  std::promise<void> done_;
  std::atomic<uint64_t> opened_ = 0;
  std::atomic<uint64_t> ended_ = 0;
  std::atomic<uint64_t> failures_ = 0;
};

double ToMicroseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double, std::micro>(time).count();
}

void Print(const char* side, const ThreadUsage& usage) {
  const auto per_stream = [](auto value) {
    return static_cast<double>(value) / kStreamCount;
  };
  std::cout << "  " << side << ": " << per_stream(ToMicroseconds(usage.cpu))
            << " us of CPU a stream ("
            << per_stream(ToMicroseconds(usage.system)) << " in the kernel), "
            << per_stream(usage.allocations) << " allocations\n";
}

void RunBenchmark(uint64_t concurrent) {
  MeasuredThread server_thread;
  MeasuredThread client_thread;
  const auto server =
      *PeerServer::Listen(server_thread.context(), {"127.0.0.1", 0}, {},
                          [](const std::string&, std::string message,
                             const std::shared_ptr<PeerStream>& stream) {
                            stream->Send(std::move(message));
                            stream->Finish();
                          });
  const auto client =
      PeerClient::Create(client_thread.context(), server->endpoint(), {});
  const ThreadUsage server_before = server_thread.Usage();
  const ThreadUsage client_before = client_thread.Usage();
  const auto start = std::chrono::steady_clock::now();
  StreamLoad stream_load(*client, concurrent);
  stream_load.Wait();
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  std::cout << concurrent
            << " streams at a time: " << kStreamCount / elapsed.count()
            << " streams/s, " << stream_load.failures() << " failed\n";
  Print("client", client_thread.Usage() - client_before);
  Print("server", server_thread.Usage() - server_before);
}

}  // namespace
}  // namespace greengage::bench

int main() {
  for (const uint64_t concurrent : {1, 16, 256}) {
    greengage::bench::RunBenchmark(concurrent);
  }
  return 0;
}
