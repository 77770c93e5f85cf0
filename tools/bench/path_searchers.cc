#include "tools/bench/path_searchers.h"

#include <boost/json.hpp>

#include <cstdint>
#include <string>

namespace greengage::bench {
namespace {

constexpr int kHits = 20;

boost::json::array Hits() {
  boost::json::array hits;
  for (int i = 0; i < kHits; ++i) {
    hits.push_back({{"key", i}, {"score", 0.5}, {"text", "afternoon tea"}});
  }
  return hits;
}

std::string AnswerTo(const std::string& body) {
  const boost::json::object request = boost::json::parse(body).as_object();
  return boost::json::serialize(
      boost::json::object{{"request_id", request.at("request_id")},
                          {"sub_request_id", request.at("sub_request_id")},
                          {"range", request.at("range")},
                          {"index_version", 1},
                          {"hits", Hits()},
                          {"load",
                           {{"running", 1},
                            {"queued", 0},
                            {"oldest_version", 1},
                            {"newest_version", 1},
                            {"draining", false}}}});
}

}  // namespace

PathSearchers::PathSearchers(size_t count) {
  for (size_t i = 0; i < kThreads; ++i) {
    threads_.push_back(std::make_unique<MeasuredThread>());
  }
  for (size_t i = 0; i < count; ++i) {
    servers_.push_back(*HttpServer::Listen(
        threads_[i % kThreads]->context(), {"127.0.0.1", 0}, {},
        [this](const HttpRequest& request,
               const std::shared_ptr<HttpExchange>& exchange) {
          Handle(request, exchange);
        }));
    endpoints_.push_back(servers_.back()->endpoint());
  }
}

PathSearchers::~PathSearchers() {
  for (const auto& thread : threads_) {
    thread->Stop();
  }
}

void PathSearchers::Handle(const HttpRequest& request,
                           const std::shared_ptr<HttpExchange>& exchange) {
  if (request.path != "/search") {
    exchange->Reply({.body = "{}"});
    return;
  }
  if (holding_) {
    const std::lock_guard<std::mutex> lock(mutex_);
    held_.push_back(exchange);
    return;
  }
  exchange->Reply({.body = AnswerTo(request.body)});
}

}  // namespace greengage::bench
