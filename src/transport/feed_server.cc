#include "greengage/transport/feed_server.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "greengage/protocol/feed_codec.h"
#include "transport/clock.h"
#include "transport/request_parameter.h"

namespace greengage {
namespace {

using std::chrono::milliseconds;

constexpr unsigned kUnavailable = 503;

// Longest wait that a client may ask for.
constexpr milliseconds kMaxWait{10000};

}  // namespace

FeedServer::FeedServer(boost::asio::io_context& context,
                       const FeedCache* cache,
                       FeedServerHooks hooks)
    : cache_(cache), hooks_(std::move(hooks)), timer_(context) {}

void FeedServer::Handle(const HttpRequest& request,
                        const std::shared_ptr<HttpExchange>& exchange) {
  const milliseconds wait(std::min<uint64_t>(
      NumericParameter<uint64_t>(request, "wait_ms"), kMaxWait.count()));
  const Waiting client{exchange, NumericParameter<uint64_t>(request, "epoch"),
                       NumericParameter<uint64_t>(request, "after"),
                       Now() + wait};
  waiting_.push_back(client);
  AnswerDue();
}

void FeedServer::OnCacheChanged() {
  AnswerDue();
}

void FeedServer::AnswerDue() {
  const TimePoint now = Now();
  const bool may_serve = cache_->is_filled() && hooks_.may_serve();
  const auto is_due = [&](const Waiting& client) {
    return !may_serve || client.until <= now ||
           client.sequence != cache_->sequence();
  };
  const auto due = std::stable_partition(
      waiting_.begin(), waiting_.end(),
      [&](const Waiting& client) { return !is_due(client); });
  const std::vector<Waiting> answered(std::make_move_iterator(due),
                                      std::make_move_iterator(waiting_.end()));
  waiting_.erase(due, waiting_.end());
  for (const Waiting& client : answered) {
    if (may_serve) {
      Reply(client);
    } else {
      client.exchange->Reply(HttpResponse{.status = kUnavailable});
    }
  }
  ArmTimer();
}

void FeedServer::Reply(const Waiting& client) {
  client.exchange->Reply(
      HttpResponse{.content_type = "application/octet-stream",
                   .body = SerializeFeedPage(cache_->PageAfter(
                       hooks_.now(), client.epoch, client.sequence))});
}

void FeedServer::ArmTimer() {
  if (waiting_.empty()) {
    timer_.cancel();
    return;
  }
  const auto next = std::min_element(
      waiting_.begin(), waiting_.end(),
      [](const Waiting& a, const Waiting& b) { return a.until < b.until; });
  timer_.expires_at(next->until);
  timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->AnswerDue();
    }
  });
}

}  // namespace greengage
