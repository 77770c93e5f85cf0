// Load, latency and health of one searcher, as one instance observes them.
#ifndef GREENGAGE_COORDINATION_ROUTED_SEARCHER_H_
#define GREENGAGE_COORDINATION_ROUTED_SEARCHER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "greengage/coordination/decayed_mean.h"
#include "greengage/coordination/searcher_rate_limit.h"
#include "greengage/state/searcher_answer.h"
#include "greengage/state/searcher_entry.h"
#include "greengage/state/time.h"

namespace greengage {

// Health of a searcher for routing, from best to worst.
enum class Usability : uint8_t {
  kHealthy,
  kUnhealthy,     // Recent attempts failed, or requests are not answered.
  kUnregistered,  // Missing from the registry, perhaps only temporarily.
  kUnusable,      // Draining, stopped or expired.
};

// Tracks a searcher that receives opaque requests. The estimates are based on
// the outcomes of its attempts and the load that it reports. Not thread-safe.
class RoutedSearcher {
 public:
  using AttemptId = uint64_t;

  RoutedSearcher(TimePoint now, SearcherEntry entry);

  const SearcherEntry& entry() const { return entry_; }

  // Identifies the object: no two of a process have the same number, even if
  // they are at the same address one after the other, or of the same searcher.
  uint64_t number() const { return number_; }

  // Sets a newer registry entry of the same process.
  void UpdateEntry(TimePoint now, SearcherEntry entry);

  // Reports that the process drains, which later entries do not take back.
  // Returns false if that was known, or the process has stopped.
  bool SetDraining();

  // Reports that the entry is missing from the registry. The searcher may still
  // be used for `grace` if there is no other.
  void OnUnregistered(TimePoint now, Duration grace);

  // Reports that the process has stopped or accepts no more requests.
  void OnGone() { gone_ = true; }

  // `limit_share` is the part of this instance in a limit of the searcher.
  void OnSent(TimePoint now,
              AttemptId attempt,
              const LimitShare& limit_share = {});

  // Withdraws an attempt that was not sent after all.
  void OnWithdrawn(AttemptId attempt);

  // Returns whether the limit of the searcher allows sending an attempt now
  // that has waited since OnSent(). A token that the attempt took then may have
  // to be replaced by a new one.
  bool RenewToken(TimePoint now,
                  AttemptId attempt,
                  const LimitShare& limit_share,
                  const TokenDemand& demand);

  // `typical` is the usual latency of such requests at other searchers;
  // `distance` is the extra network latency to the searcher's data centre.
  void OnEnded(TimePoint now,
               AttemptId attempt,
               const AttemptOutcome& outcome,
               Duration typical,
               Duration distance);

  Usability UsabilityAt(TimePoint now, Duration typical) const;

  // Returns the estimated latency of a request that is sent now.
  Duration ExpectedLatency(TimePoint now,
                           Duration typical,
                           Duration distance) const;

  // Returns whether the searcher reports how long work takes on its machine.
  bool reports_work_time() const { return load_.work_time.has_value(); }

  // Returns the fraction (0 to 1) of recent attempts that failed, were rejected
  // or were lost.
  double ErrorRate(TimePoint now) const;

  // Returns the age of the oldest outstanding request if the searcher has
  // answered nothing since it was sent; otherwise zero.
  Duration UnansweredFor(TimePoint now) const;

  // Returns true if a request may be sent to an unhealthy searcher as a probe:
  // none is outstanding, or the last one is older than the probe interval.
  bool AllowsProbe(TimePoint now) const;

  // Returns how long the searcher still wants no request from this instance.
  Duration ClosedFor(TimePoint now) const {
    return closed_until_ && now < *closed_until_ ? *closed_until_ - now
                                                 : Duration::zero();
  }

  // Sets the end of that time. A later answer with an earlier end, or of a
  // request that was sent before, does not shorten it.
  void OnClosed(TimePoint until);

  // The limit that the searcher names on the requests of all instances.
  const SearcherRateLimit& rate_limit() const { return rate_limit_; }
  SearcherRateLimit& rate_limit() { return rate_limit_; }

  size_t outstanding() const { return outstanding_.size(); }

  // Returns true if the searcher can be dropped: it has stopped, or it has been
  // missing from the registry for longer than the grace time.
  bool IsExpired(TimePoint now) const;

  // Returns true if the searcher must not get any more requests.
  bool IsLeaving(TimePoint now) const {
    return entry_.draining || IsExpired(now);
  }

 private:
  struct Outstanding {
    AttemptId attempt = 0;
    TimePoint sent;
    // When the attempt took a token. Empty if the searcher named no limit.
    std::optional<TimePoint> token_at;
  };

  std::vector<Outstanding>::iterator Find(AttemptId attempt);
  bool HasStalled(TimePoint now, Duration typical) const;
  void OnFailure(TimePoint now, bool not_sent);
  void OnSuccess(TimePoint now);
  void RecordLatency(TimePoint now,
                     Duration latency,
                     Duration typical,
                     DecayedMean& latency_ratio) const;
  void RecordError(TimePoint now, bool error);
  void RecordLoad(TimePoint now, const ReportedLoad& load);
  // Returns the work time to expect now, relative to the usual one.
  double ExpectedWorkTime(TimePoint now) const;

  const uint64_t number_;
  SearcherEntry entry_;
  TimePoint warm_at_;
  std::optional<TimePoint> expires_at_;  // Set while unregistered.
  bool gone_ = false;
  std::vector<Outstanding> outstanding_;  // Attempts in flight, oldest first.
  TimePoint last_answer_at_;
  uint32_t failures_ = 0;  // Consecutive attempts without an answer.
  std::optional<TimePoint> ejected_until_;
  Duration ejection_time_{};
  std::optional<TimePoint> closed_until_;
  DecayedMean latency_ratio_;  // Latency over the typical latency.
  // As latency_ratio_, from attempts that were abandoned while the searcher did
  // not answer at all. Reset once it answers.
  DecayedMean unanswered_latency_ratio_;
  DecayedMean error_rate_;
  SearcherRateLimit rate_limit_;
  // Work time that the searcher reports, relative to the usual one.
  DecayedMean work_time_;
  ReportedLoad load_;
  TimePoint load_received_at_;
};

using RoutedSearcherPtr = std::shared_ptr<RoutedSearcher>;

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_ROUTED_SEARCHER_H_
