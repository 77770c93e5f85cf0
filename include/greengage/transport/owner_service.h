// The owner role: queues sub-requests by rank and sends them to the searchers
// that this instance owns.
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

// Identifies a submission for Cancel(). Unique within the instance.
using SubmissionId = uint64_t;

// Thread-safe. Searchers are divided into shards, each with its own lock. No
// callback runs while a lock is held, except the hook is_draining.
class OwnerService : public std::enable_shared_from_this<OwnerService> {
 public:
  using Callback = std::function<void(SubAnswer)>;

  struct Hooks {
    // Runs when a sub-request is sent to its searcher; may be empty.
    std::function<void(const SubRequest&)> on_sent;
    // Runs when a sub-request that was sent has ended; may be empty.
    std::function<void(const SubRequest&, const SubAnswer&)> on_ended;
    // Returns true if a searcher is draining. New sub-requests to it are
    // rejected.
    std::function<bool(const Endpoint&)> is_draining;
    // Runs when an unresponsive connection to a searcher has been replaced; may
    // be empty.
    std::function<void(const Endpoint&)> on_connection_replaced;
  };

  // `first_id` should differ between instances and between restarts, since
  // searchers identify sub-requests by these ids.
  OwnerService(boost::asio::io_context& context,
               uint64_t first_id,
               Hooks hooks);

  // Applies the searchers and limits of `configuration`. Sub-requests already
  // queued for a searcher that was removed are still sent.
  void Apply(const ConfigurationPtr& configuration);

  // Queues `request`. `done` runs exactly once, no later than the deadline of
  // the request. The answer has the id that the caller set in `request`.
  SubmissionId Submit(SubRequest request, Callback done);

  // Rejects the sub-requests queued for a searcher that is draining, with the
  // outcome kNotRun.
  void Drain(const Endpoint& searcher);

  // Cancels a submission; `done` runs with the refusal kCancelled. The outcome
  // is kNotRun for a queued submission. One that was sent is also cancelled at
  // the searcher, and its outcome is kUnknown.
  void Cancel(const Endpoint& searcher, SubmissionId id);

  // Number of sub-requests that are queued or in flight.
  size_t in_flight() const { return in_flight_; }

  size_t open_connections() const;

 private:
  static constexpr size_t kShards = 32;

  struct Submission {
    SubRequest request;  // Has the id set by the caller of Submit().
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

  // A callback and its answer, to be run after the lock is released.
  struct FinishedSubmission {
    Callback done;
    SubAnswer answer;
  };

  // Work to do for one searcher after the lock is released.
  struct DispatchBatch {
    std::shared_ptr<HttpClient> client;
    std::vector<QueuedSubRequest> to_send;
    std::vector<FinishedSubmission> finished;
  };

  Shard& ShardOf(const Endpoint& searcher);
  Searcher& SearcherOf(Shard& shard, const Endpoint& endpoint);
  RankQueueOptions QueueOptions(const Endpoint& endpoint) const;
  HttpClientLimits ClientLimits(const Endpoint& endpoint) const;
  static void RejectQueued(Searcher& searcher,
                           const std::vector<QueuedSubRequest>& queued,
                           Refusal refusal,
                           DispatchBatch& batch);
  static DispatchBatch PopReadyRequests(Searcher& searcher, TimePoint now);
  void Dispatch(DispatchBatch batch);
  void Send(const std::shared_ptr<HttpClient>& client, SubRequest request);
  void OnResult(const SubRequest& sent,
                TimePoint sent_at,
                HttpCallResult result);
  void Finish(FinishedSubmission finished);
  SubAnswer ToSubAnswer(const SubRequest& sent, HttpCallResult result) const;

  boost::asio::io_context& context_;
  const std::shared_ptr<ReceiveBudget> receive_budget_;  // Of all clients.
  const Hooks hooks_;
  std::atomic<SubmissionId> next_id_;
  std::atomic<size_t> in_flight_{0};
  mutable std::mutex configuration_mutex_;
  ConfigurationPtr configuration_;
  std::array<Shard, kShards> shards_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_OWNER_SERVICE_H_
