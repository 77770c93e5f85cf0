// A searcher stand-in that serves generated records, with execution slots, a
// queue and injected faults.
#ifndef STANDINS_SEARCHER_SEARCHER_H_
#define STANDINS_SEARCHER_SEARCHER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "greengage/transport/http_server.h"
#include "standins/searcher/faults.h"
#include "standins/searcher/search_message.h"

namespace greengage::standins {

struct SearcherOptions {
  uint32_t slots = 2;
  size_t queue_limit = 4;  // Queued requests; further ones are shed.
  uint64_t seed = 1;
  Faults faults;
};

// Not thread-safe: all calls must be on the single thread that runs `context`.
// Records are a function of the request, and the random service times are a
// function of the seed; timers use the real clock.
class Searcher {
 public:
  Searcher(boost::asio::io_context& context, SearcherOptions options);

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpExchange>& exchange);

  // Rejects all new requests from now on.
  void Drain();

 private:
  struct SearchTask {
    explicit SearchTask(boost::asio::io_context& context) : timer(context) {}

    SearchRequest request;
    std::shared_ptr<HttpExchange> exchange;
    boost::asio::steady_timer timer;
    bool running = false;
  };
  using SearchTaskPtr = std::shared_ptr<SearchTask>;

  void HandleSearch(const HttpRequest& request,
                    const std::shared_ptr<HttpExchange>& exchange);
  void HandleCancel(const HttpRequest& request,
                    const std::shared_ptr<HttpExchange>& exchange);
  void HandleFaults(const HttpRequest& request,
                    const std::shared_ptr<HttpExchange>& exchange);
  HttpResponse ExecutionsResponse(const HttpRequest& request) const;
  HttpResponse CountersResponse() const;
  std::optional<std::string> RejectionReason(
      const SearchRequest& request) const;
  void Reject(const SearchTaskPtr& task, std::string_view reason);
  void Enqueue(const SearchTaskPtr& task);
  void StartNext();
  void Run(const SearchTaskPtr& task);
  void Finish(const SearchTaskPtr& task);
  void Answer(const SearchTaskPtr& task);
  void Cancel(const SearchTaskPtr& task);
  void RecordExecution(const SearchRequest& request);
  Duration DrawServiceTime(TimePoint now);
  boost::json::object Load() const;

  boost::asio::io_context& context_;
  const SearcherOptions options_;
  Faults faults_;
  std::mt19937_64 random_generator_;
  std::deque<SearchTaskPtr> queue_;
  std::list<SearchTaskPtr> running_;
  // Requests on stalled connections, which never get a response.
  std::list<std::shared_ptr<HttpExchange>> stalled_exchanges_;
  std::map<std::string, uint32_t> executions_;  // By request ID.
  std::deque<std::string> idempotent_ids_;      // Oldest first, for eviction.
  std::string last_answer_;                     // Body of the previous answer.
  uint64_t latest_connection_ = 0;
  uint64_t received_ = 0;
  uint64_t executed_ = 0;
  uint64_t rejected_ = 0;
  uint64_t cancelled_ = 0;
  TimePoint last_received_;
};

}  // namespace greengage::standins

#endif  // STANDINS_SEARCHER_SEARCHER_H_
