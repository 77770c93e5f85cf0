// Adds up what organisations send through all instances and limits those that
// exceed their quota.
#ifndef GREENGAGE_COORDINATION_QUOTA_LEDGER_H_
#define GREENGAGE_COORDINATION_QUOTA_LEDGER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "greengage/coordination/decayed_mean.h"
#include "greengage/coordination/quota_messages.h"
#include "greengage/state/organisation.h"
#include "greengage/state/time.h"

namespace greengage {

struct QuotaLedgerOptions {
  // What operators tolerate in any `window`: a quota may be exceeded by the
  // fraction `overage` and `allowance` requests. Most of it is used to admit
  // more, and the rest covers what is admitted before all know of a limit.
  Duration window = std::chrono::seconds(5);
  double overage = 0;
  double allowance = 0;
};

// The ledger of some organisations. The load that it answers is an organisation
// that sends several times its quota through many instances, each of which sees
// a few of its requests.
//
// A token bucket for each organisation is charged after the fact, from reports
// of what instances have admitted, and its level may become negative. While it
// is likely to last, instances admit everything and are told nothing. Otherwise
// they are told which share of the requests to admit, so that the level returns
// to zero within about a second.
//
// Of the instances that have reported to it and are still registered, the
// ledger counts those that report now, and uses the same share of each quota.
// Two ledgers of an organisation whose instances are cut off from each other
// thus admit no more than its quota together. Instances that have not reported
// yet do not count, since most of them are only starting.
//
// Not thread-safe.
class QuotaLedger {
 public:
  // Returns the quota of an organisation in the active configuration, or
  // nothing if it has no limit.
  using QuotaHook =
      std::function<std::optional<RequestQuota>(const std::string&)>;

  QuotaLedger(QuotaLedgerOptions options, QuotaHook quota)
      : options_(options), quota_(std::move(quota)) {}

  // Sets the instances in the registry.
  void SetInstances(std::set<std::string> ids) { registered_ = std::move(ids); }

  // Returns the present shares of the organisations in the report. Returns
  // nothing, and the report must not be acknowledged, if it was not counted: it
  // arrived twice or after a later one, or too many unknown senders report.
  std::optional<std::vector<QuotaShare>> OnReport(TimePoint now,
                                                  const QuotaReport& report);

  // Returns the shares that all instances must be told now: those that have
  // changed much, and regularly those below 1. Must be called at least every
  // kQuotaReportInterval.
  std::vector<QuotaShare> TakeNotices(TimePoint now);

  // Returns the level of the organisation's bucket, for logs. Negative if more
  // was admitted than the quota allows.
  std::optional<double> Level(TimePoint now, const std::string& organisation);

 private:
  struct Reporter {
    uint64_t process = 0;
    uint64_t sequence = 0;
    TimePoint heard_at;
    std::map<std::string, QuotaCounts> counts;
  };

  struct Account {
    explicit Account(TimePoint now);

    double tokens = 0;
    // Time at which reports began that another ledger may have answered before,
    // and that of the last one.
    TimePoint takeover_since;
    std::optional<TimePoint> takeover_at;
    TimePoint updated_at;
    TimePoint reported_at;
    RequestQuota quota;
    DecayedMean demand;  // Requests per second.
    double share = 1;
    Duration retry_after{};
    double noticed_share = 1;
    TimePoint noticed_at;
  };

  // Returns null if the organisation has no limit.
  Account* Find(TimePoint now, const std::string& organisation);
  void Charge(TimePoint now, Account& account, const QuotaCounts& counts) const;
  void LimitBurstOfTakeover(TimePoint now, Account& account) const;
  // Moves the times of reporters on after a pause of this process.
  void AllowForPause(TimePoint now);
  void Decide(TimePoint now, Account& account) const;
  // Returns the requests beyond the quota that are admitted in a window: half
  // of them at once after a pause, half by a higher rate.
  double ExtraRequests(const RequestQuota& quota) const;
  double ExtraBurst(const Account& account) const;
  double Rate(const Account& account) const;
  double Capacity(const Account& account) const;
  // Returns the share of a quota that this ledger may use, 0 to 1.
  double Coverage(TimePoint now) const;

  const QuotaLedgerOptions options_;
  const QuotaHook quota_;
  std::set<std::string> registered_;
  std::optional<TimePoint> called_at_;
  std::map<std::string, Reporter> reporters_;
  std::map<std::string, Account> accounts_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_QUOTA_LEDGER_H_
