#include "greengage/state/event_log.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <thread>
#include <utility>

namespace greengage {

namespace {

constexpr size_t kShardCount = 8;

// Assigns the shards to the events of each thread round-robin, so that every
// shard holds events of every thread and lock contention is rare.
size_t NextShard() {
  thread_local size_t next =
      std::hash<std::thread::id>()(std::this_thread::get_id());
  return next++ % kShardCount;
}

bool Matches(const Event& event,
             HybridTime since,
             const std::optional<std::string>& request_id) {
  return event.time >= since &&
         (!request_id || event.request_id == *request_id);
}

}  // namespace

std::string_view EventKindName(EventKind kind) {
  switch (kind) {
    case EventKind::kProcessStarted:
      return "process_started";
    case EventKind::kProcessStopping:
      return "process_stopping";
    case EventKind::kProcessStopped:
      return "process_stopped";
    case EventKind::kQueryAdmitted:
      return "query_admitted";
    case EventKind::kQueryRefused:
      return "query_refused";
    case EventKind::kQueryAnswered:
      return "query_answered";
    case EventKind::kQueryRerun:
      return "query_rerun";
    case EventKind::kSubRequestForwarded:
      return "sub_request_forwarded";
    case EventKind::kSubRequestSent:
      return "sub_request_sent";
    case EventKind::kSubRequestHedged:
      return "sub_request_hedged";
    case EventKind::kSubRequestRetried:
      return "sub_request_retried";
    case EventKind::kSubRequestEnded:
      return "sub_request_ended";
    case EventKind::kClaimCreated:
      return "claim_created";
    case EventKind::kClaimLost:
      return "claim_lost";
    case EventKind::kClaimSettled:
      return "claim_settled";
    case EventKind::kConfigurationLearned:
      return "configuration_learned";
    case EventKind::kConfigurationInForce:
      return "configuration_in_force";
    case EventKind::kWatchStarted:
      return "watch_started";
    case EventKind::kWatchStopped:
      return "watch_stopped";
    case EventKind::kInstanceJoined:
      return "instance_joined";
    case EventKind::kInstanceSuspected:
      return "instance_suspected";
    case EventKind::kInstanceRefuted:
      return "instance_refuted";
    case EventKind::kInstanceGone:
      return "instance_gone";
    case EventKind::kInstanceLeaving:
      return "instance_leaving";
    case EventKind::kSearcherDraining:
      return "searcher_draining";
    case EventKind::kSearcherEjected:
      return "searcher_ejected";
    case EventKind::kSearcherReturned:
      return "searcher_returned";
    case EventKind::kConnectionReplaced:
      return "connection_replaced";
    case EventKind::kPlatformDown:
      return "platform_down";
    case EventKind::kPlatformBack:
      return "platform_back";
  }
  return "unnamed";
}

const std::vector<EventKind>& AllEventKinds() {
  static const std::vector<EventKind> kinds = [] {
    std::vector<EventKind> all;
    const auto last = static_cast<uint8_t>(EventKind::kPlatformBack);
    for (uint8_t value = 0; value <= last; ++value) {
      all.push_back(static_cast<EventKind>(value));
    }
    return all;
  }();
  return kinds;
}

EventLog::EventLog(std::string process,
                   size_t capacity,
                   HybridClock* clock,
                   RecordHook on_record)
    : process_(std::move(process)),
      shard_capacity_(
          std::max<size_t>(1, (capacity + kShardCount - 1) / kShardCount)),
      clock_(clock),
      on_record_(std::move(on_record)),
      shards_(kShardCount) {}

void EventLog::Record(WallTime now,
                      EventKind kind,
                      std::string request_id,
                      std::string subject,
                      std::string detail) {
  Event event{.time = clock_->Now(now),
              .kind = kind,
              .process = process_,
              .request_id = std::move(request_id),
              .subject = std::move(subject),
              .detail = std::move(detail)};
  if (on_record_) {
    on_record_(event);
  }
  Shard& shard = shards_[NextShard()];
  const std::lock_guard lock(shard.mutex);
  if (shard.ring.size() < shard_capacity_) {
    shard.ring.push_back(std::move(event));
    return;
  }
  shard.ring[shard.next] = std::move(event);
  shard.next = (shard.next + 1) % shard_capacity_;
}

std::vector<Event> EventLog::Read(HybridTime since,
                                  const std::optional<std::string>& request_id,
                                  size_t limit) const {
  std::vector<Event> found;
  for (const Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    std::copy_if(
        shard.ring.begin(), shard.ring.end(), std::back_inserter(found),
        [&](const Event& event) { return Matches(event, since, request_id); });
  }
  std::sort(found.begin(), found.end(),
            [](const Event& a, const Event& b) { return a.time < b.time; });
  if (found.size() > limit) {
    found.resize(limit);
  }
  return found;
}

}  // namespace greengage
