// The owner role: orders and sends the work for the searchers that this
// instance owns.
#ifndef GREENGAGE_TRANSPORT_OWNER_SERVICE_H_
#define GREENGAGE_TRANSPORT_OWNER_SERVICE_H_

#include <boost/asio/io_context.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "greengage/coordination/rank_queue.h"
#include "greengage/state/configuration.h"
#include "greengage/state/query.h"
#include "greengage/transport/http_client.h"

namespace greengage {

// Names one submission, for cancelling it. Unique within the instance.
using SubmissionId = uint64_t;

// Thread-safe: searchers are divided into shards, each under its own lock. No
// callback runs while a lock is held.
class OwnerService : public std::enable_shared_from_this<OwnerService> {
 public:
  using Callback = std::function<void(SubAnswer)>;

  // Runs when a sub-request is sent to its searcher, and when it has ended.
  struct Hooks {
    std::function<void(const SubRequest&)> on_sent;
    std::function<void(const SubRequest&, const SubAnswer&)> on_ended;
    // Whether a searcher is leaving: it then gets nothing new from here.
    std::function<bool(const Endpoint&)> is_draining;
    // A connection to a searcher went silent and was replaced.
    std::function<void(const Endpoint&)> on_connection_replaced;
  };

  // `first_id` should differ from instance to instance and from start to
  // start, since searchers tell sub-requests apart by these ids.
  OwnerService(boost::asio::io_context& context,
               uint64_t first_id,
               Hooks hooks);

  // Takes in searchers and limits. Work that waits for a searcher that is no
  // longer named still gets its turn.
  void Apply(const ConfigurationPtr& configuration);

  // Queues `request`; `done` runs exactly once, at the latest at its deadline.
  // The answer carries the request's own id.
  SubmissionId Submit(SubRequest request, Callback done);

  // A searcher is leaving: what waits for it is refused as not run.
  void Drain(const Endpoint& searcher);

  // Gives up a submission: one that waits is proved not to have run, one that
  // was sent is cancelled at the searcher. `done` runs with kCancelled.
  void Cancel(const Endpoint& searcher, SubmissionId id);

  // Sub-requests that wait or were sent.
  size_t in_flight() const { return in_flight_; }

  size_t open_connections() const;

 private:
  static constexpr size_t kShards = 32;

  struct Submission {
    SubRequest request;  // With the caller's id.
    Callback done;
    bool cancelled = false;
    Duration queue_time{};
  };

  struct Searcher {
    RankQueue queue{RankQueueOptions{}};
    std::shared_ptr<HttpClient> client;
    std::unordered_map<SubmissionId, Submission> submissions;
  };

  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<Endpoint, Searcher> searchers;
  };

  // A callback and the answer it is to be given once no lock is held.
  struct Ended {
    Callback done;
    SubAnswer answer;
  };

  // What a look at a searcher's queue gave: work to send and work that ended.
  struct Turn {
    std::shared_ptr<HttpClient> client;
    std::vector<QueuedSubRequest> to_send;
    std::vector<Ended> ended;
  };

  Shard& ShardOf(const Endpoint& searcher);
  Searcher& SearcherOf(Shard& shard, const Endpoint& endpoint);
  RankQueueOptions QueueOptions(const Endpoint& endpoint) const;
  HttpClientLimits ClientLimits(const Endpoint& endpoint) const;
  static void Refuse(Searcher& searcher,
                     const std::vector<QueuedSubRequest>& queued,
                     Refusal refusal,
                     Turn& turn);
  static Turn TakeTurn(Searcher& searcher, TimePoint now);
  void CarryOut(Turn turn);
  void Send(const std::shared_ptr<HttpClient>& client, SubRequest request);
  void OnResult(const SubRequest& sent,
                TimePoint sent_at,
                HttpCallResult result);
  void End(Ended ended);
  SubAnswer ToSubAnswer(const SubRequest& sent, HttpCallResult result) const;

  boost::asio::io_context& context_;
  const Hooks hooks_;
  std::atomic<SubmissionId> next_id_;
  std::atomic<size_t> in_flight_{0};
  mutable std::mutex configuration_mutex_;
  ConfigurationPtr configuration_;
  std::array<Shard, kShards> shards_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_OWNER_SERVICE_H_
