#include "greengage/transport/feed_client.h"

#include <algorithm>
#include <string>
#include <utility>

#include "greengage/protocol/feed_codec.h"
#include "greengage/transport/feed_server.h"
#include "transport/clock.h"

namespace greengage {
namespace {

constexpr unsigned kOk = 200;

// A complete page has all searchers: some 150 bytes for each.
constexpr size_t kMaxPageBytes = size_t{4} << 20;

constexpr std::chrono::milliseconds kConnectTimeout{500};

}  // namespace

void FeedClient::Fetch(const InstanceRecord& peer,
                       std::chrono::milliseconds wait,
                       std::chrono::milliseconds timeout,
                       PageCallback done) {
  if (!http_ || server_ != peer.peer) {
    if (http_) {
      http_->Close();
    }
    HttpClientLimits limits;
    limits.connections = 1;
    limits.body_bytes = kMaxPageBytes;
    limits.connect_timeout = kConnectTimeout;
    http_ = HttpClient::Create(context_, peer.peer, limits);
    server_ = peer.peer;
  }
  HttpCall call;
  call.target = std::string(kFeedPath) + "?epoch=" + std::to_string(epoch_) +
                "&after=" + std::to_string(sequence_) +
                "&wait_ms=" + std::to_string(wait.count());
  call.deadline = Now() + wait + timeout;
  http_->Start(std::move(call),
               [weak = weak_from_this(),
                done = std::move(done)](const HttpCallResult& result) {
                 if (const auto self = weak.lock()) {
                   done(self->Accept(result));
                 }
               });
}

Result<FeedPage> FeedClient::Accept(const HttpCallResult& result) {
  const std::string subject = "peer " + ToString(server_);
  if (!result.response) {
    return Failure{FailureKind::kUnavailable, subject,
                   Describe(result.response.last_reason())};
  }
  if (result.response->status != kOk) {
    return Failure{FailureKind::kStaleVersion, subject,
                   "it has no state that is young enough, status " +
                       std::to_string(result.response->status)};
  }
  Result<FeedPage> page = ParseFeedPage(result.response->body);
  if (!page) {
    return page;
  }
  if (page->searchers_revision < searchers_revision_) {
    return Failure{FailureKind::kStaleVersion, subject,
                   "its state of the searchers is older than the known one"};
  }
  epoch_ = page->epoch;
  sequence_ = page->sequence;
  searchers_revision_ = page->searchers_revision;
  return page;
}

void FeedClient::Reset(StoreRevision searchers_revision) {
  epoch_ = 0;
  sequence_ = 0;
  searchers_revision_ = std::max(searchers_revision_, searchers_revision);
}

}  // namespace greengage
