// Keeps the requests that one instance admits within the quotas of
// organisations, which hold for all instances together.
#ifndef GREENGAGE_COORDINATION_QUOTA_GATE_H_
#define GREENGAGE_COORDINATION_QUOTA_GATE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "greengage/coordination/instance_share.h"
#include "greengage/coordination/quota_messages.h"
#include "greengage/coordination/searcher_rate_limit.h"
#include "greengage/state/instance_record.h"
#include "greengage/state/organisation.h"
#include "greengage/state/time.h"

namespace greengage {

// Longest time from a request until it is reported.
inline constexpr Duration kQuotaReportInterval = std::chrono::milliseconds(100);

// Interval of reports to a ledger that has nothing to learn.
inline constexpr Duration kQuotaHeartbeatInterval =
    std::chrono::milliseconds(500);

// A ledger that has not been heard for this long is replaced, and an instance
// that has not reported for this long is not counted.
inline constexpr Duration kQuotaLedgerTimeout = std::chrono::milliseconds(1300);

// A share that is not renewed is forgotten after this time. It is longer than
// the time until a ledger is replaced: in between, nobody limits the requests.
inline constexpr Duration kQuotaShareLifetime =
    kQuotaLedgerTimeout + std::chrono::milliseconds(500);

// Selects the instances that keep ledgers: in each region the first by
// rendezvous hashing of those with at least half of the largest capacity there,
// and the next ones if these are few.
// `regions` holds the regions of data centres; one that it lacks counts as a
// region.
std::vector<InstanceRecord> SelectQuotaLedgers(
    const std::vector<InstanceRecord>& instances,
    const std::map<std::string, std::string>& regions);

struct QuotaVerdict {
  bool admitted = true;
  Duration retry_after{};  // If it is not admitted.
  double share = 1;        // Of the requests that are admitted, for logs.
  bool is_alone = false;   // No ledger answers; the own share of the quota.
};

// The instance's side of quotas. It counts the requests of each organisation,
// reports the counts to the first ledger that answers, in an order by
// rendezvous hashing of the organisation's name, and admits the share that a
// ledger decided. No request waits for a ledger.
//
// Reports hold totals, so that one that is lost, late or repeated does no harm.
// Without a ledger, the instance uses its own share of the quota by turns.
// Not thread-safe.
class QuotaGate {
 public:
  // `process` differs for each process of the instance `self_id`.
  QuotaGate(std::string self_id, uint64_t process)
      : self_id_(std::move(self_id)), process_(process), random_(process) {}

  // Sets the instances that keep ledgers.
  void SetLedgers(TimePoint now, std::vector<InstanceRecord> ledgers);

  // Decides about a request of an organisation that has a limit and counts it.
  // `own_share` is the part of this instance in a limit of all.
  QuotaVerdict Admit(TimePoint now,
                     const Organisation& organisation,
                     const LimitShare& own_share);

  // Reports that a request that was admitted, not alone, has not run.
  void OnNotRun(const std::string& organisation);

  struct OutgoingReport {
    InstanceRecord ledger;
    QuotaReport report;
  };

  // Returns the reports to send now. Must be called every kQuotaReportInterval.
  std::vector<OutgoingReport> TakeReports(TimePoint now);

  void OnDecision(TimePoint now, const QuotaDecision& decision);

 private:
  struct Use {
    QuotaCounts total;
    QuotaCounts acknowledged;
    double share = 1;
    std::string share_from;  // Id of the ledger.
    Duration retry_after{};
    std::optional<TimePoint> share_until;
    // Part of a request that the share has left over, 0 to 1. Random at first,
    // so that instances don't all admit, or all reject, their first request.
    std::optional<double> remainder;
    std::optional<SearcherRateLimit> alone;
    RequestQuota alone_quota;
  };

  struct SentReport {
    uint64_t sequence = 0;
    std::vector<OrganisationUse> uses;
  };

  struct Ledger {
    InstanceRecord instance;
    TimePoint heard_at;
    std::optional<TimePoint> reported_at;
    // Time of the first report since the ledger was heard.
    std::optional<TimePoint> unanswered_since;
    std::deque<SentReport> unacknowledged;
  };

  static bool Answers(TimePoint now, const Ledger& ledger);
  // Returns the first ledger of the organisation that answers, or null.
  Ledger* LedgerOf(TimePoint now, const std::string& organisation);
  // Returns the first ledger of the organisation, whether it answers or not, or
  // null if there is none.
  Ledger* FirstLedgerOf(const std::string& organisation);
  Ledger* BestLedger(const std::string& organisation,
                     const std::function<bool(const Ledger&)>& is_usable);
  void UseShare(TimePoint now,
                const std::string& ledger,
                const QuotaShare& share);
  // Moves the times of ledgers on after a pause of this process.
  void AllowForPause(TimePoint now);
  QuotaVerdict AdmitAlone(TimePoint now,
                          const Organisation& organisation,
                          const LimitShare& own_share,
                          Use& use);

  const std::string self_id_;
  const uint64_t process_;
  uint64_t last_sequence_ = 0;
  std::minstd_rand random_;
  TimePoint reported_at_;  // Time of the last TakeReports().
  std::vector<Ledger> ledgers_;
  std::map<std::string, Use> uses_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_QUOTA_GATE_H_
