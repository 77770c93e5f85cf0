// Searchers for cost measurements, on separate threads.
#ifndef TOOLS_BENCH_PATH_SEARCHERS_H_
#define TOOLS_BENCH_PATH_SEARCHERS_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

#include "greengage/state/endpoint.h"
#include "greengage/transport/http_server.h"
#include "tools/bench/thread_usage.h"

namespace greengage::bench {

// Each searcher is an HTTP server that answers immediately with a full page of
// hits. After Hold(), it keeps requests without answering them.
class PathSearchers {
 public:
  explicit PathSearchers(size_t count);
  ~PathSearchers();
  PathSearchers(const PathSearchers&) = delete;
  PathSearchers& operator=(const PathSearchers&) = delete;

  const std::vector<Endpoint>& endpoints() const { return endpoints_; }

  void Hold() { holding_ = true; }

 private:
  static constexpr size_t kThreads = 3;

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpExchange>& exchange);

  // Declared first because the contexts must outlive their sockets.
  std::vector<std::unique_ptr<MeasuredThread>> threads_;
  std::atomic<bool> holding_ = false;
  std::mutex mutex_;
  std::vector<std::shared_ptr<HttpExchange>> held_;
  std::vector<Endpoint> endpoints_;
  std::vector<std::shared_ptr<HttpServer>> servers_;
};

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_PATH_SEARCHERS_H_
