// A searcher that finds made-up records, with slots, a queue and faults.
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
  size_t queue = 4;  // Requests that wait for a slot; more are shed.
  uint64_t seed = 1;
  Faults faults;
};

// Runs on one thread, which must be the one that runs `context`. Timers read
// the clock; the records and service times are functions of the seed.
class Searcher {
 public:
  Searcher(boost::asio::io_context& context, SearcherOptions options);

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpExchange>& exchange);

  // Refuses new work from now on.
  void Drain();

 private:
  struct Work {
    explicit Work(boost::asio::io_context& context) : timer(context) {}

    SearchRequest request;
    std::shared_ptr<HttpExchange> exchange;
    boost::asio::steady_timer timer;
    bool running = false;
  };
  using WorkPtr = std::shared_ptr<Work>;

  void HandleSearch(const HttpRequest& request,
                    const std::shared_ptr<HttpExchange>& exchange);
  void HandleCancel(const HttpRequest& request,
                    const std::shared_ptr<HttpExchange>& exchange);
  void HandleFaults(const HttpRequest& request,
                    const std::shared_ptr<HttpExchange>& exchange);
  HttpResponse ExecutionsResponse(const HttpRequest& request) const;
  HttpResponse CountersResponse() const;
  std::optional<std::string> ReasonToRefuse(const SearchRequest& request) const;
  void Refuse(const WorkPtr& work, std::string_view reason);
  void Enqueue(const WorkPtr& work);
  void StartNext();
  void Run(const WorkPtr& work);
  void Finish(const WorkPtr& work);
  void Answer(const WorkPtr& work);
  void GiveUp(const WorkPtr& work);
  void CountExecution(const SearchRequest& request);
  Duration DrawServiceTime(TimePoint now);
  boost::json::object Load() const;

  boost::asio::io_context& context_;
  const SearcherOptions options_;
  Faults faults_;
  std::mt19937_64 random_;
  std::deque<WorkPtr> queue_;
  std::list<WorkPtr> running_;
  std::list<std::shared_ptr<HttpExchange>> silent_;  // Never answered.
  std::map<std::string, uint32_t> executions_;       // By request id.
  std::deque<std::string> idempotent_ids_;  // Oldest first, to forget them.
  std::string last_answer_;                 // Of the answer before.
  uint64_t latest_connection_ = 0;
  uint64_t received_ = 0;
  uint64_t executed_ = 0;
  uint64_t refused_ = 0;
  uint64_t cancelled_ = 0;
  TimePoint last_received_;
};

}  // namespace greengage::standins

#endif  // STANDINS_SEARCHER_SEARCHER_H_
