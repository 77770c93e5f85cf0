#include "greengage/coordination/quota_ledger.h"

#include <algorithm>
#include <cmath>

#include "greengage/coordination/quota_gate.h"

namespace greengage {
namespace {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Time from a change of the demand until all instances apply a new share: a
// report, and the notice, each with its delay.
constexpr duration<double> kReactionTime = milliseconds(300);

// Time in which a level that is not zero is to return to it.
constexpr duration<double> kCorrectionTime = milliseconds(1000);

// The demand is the mean over about this time. Shorter ones would mistake a few
// requests at once for a rise.
constexpr Duration kDemandHalfLife = milliseconds(400);

// An instance that has not reported for this long is not counted.
constexpr Duration kReporterLifetime = kQuotaLedgerTimeout;

// Part of the allowance that is used for the largest quotas.
constexpr double kMinExtraUse = 0.2;

// Requests of the tolerance that are never used.
constexpr double kSafetyMargin = 2;

// Demand of an organisation that exceeds its quota, relative to the quota.
constexpr double kExpectedSurge = 5;

// Instances that report and are not registered, as those that have just
// started. Anything can send a datagram.
constexpr size_t kMaxUnregistered = 256;

// A longer time between two calls is a pause of this process.
constexpr Duration kMaxCallGap = 3 * kQuotaReportInterval;

// What was admitted beyond a quota is compensated by at most this time without
// any request. What is older than the window of the bound needs none.
constexpr duration<double> kMaxDebtTime = std::chrono::seconds(5);

// A change of a share by less than this waits for the next regular notice.
constexpr double kNoticedChange = 0.1;
constexpr Duration kNoticeInterval = milliseconds(250);

constexpr Duration kMinRetryAfter = milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

double Seconds(Duration time) {
  return duration<double>(time).count();
}

QuotaCounts Difference(const QuotaCounts& a, const QuotaCounts& b) {
  return {a.asked - b.asked, a.admitted - b.admitted};
}

}  // namespace

QuotaLedger::Account::Account(TimePoint now)
    : takeover_since(now),
      updated_at(now),
      demand(now, 0, kDemandHalfLife),
      noticed_at(now) {}

// TakeNotices() runs every kQuotaReportInterval. After a longer gap, reports
// that arrived meanwhile have not been read.
void QuotaLedger::AllowForPause(TimePoint now) {
  const Duration gap = called_at_ ? now - *called_at_ : Duration::zero();
  called_at_ = now;
  if (gap > kMaxCallGap) {
    for (auto& [id, reporter] : reporters_) {
      reporter.heard_at += gap;
    }
  }
}

double QuotaLedger::ExtraRequests(const RequestQuota& quota) const {
  const double whole = quota.rate * Seconds(options_.window) + quota.burst;
  const double tolerated = options_.allowance + options_.overage * whole;
  const double before_reaction =
      kExpectedSurge * quota.rate * kReactionTime.count() + kSafetyMargin;
  return std::max(options_.allowance * kMinExtraUse,
                  tolerated - before_reaction);
}

double QuotaLedger::ExtraBurst(const Account& account) const {
  return ExtraRequests(account.quota) / 2;
}

double QuotaLedger::Rate(const Account& account) const {
  return account.quota.rate +
         ExtraRequests(account.quota) / 2 / Seconds(options_.window);
}

double QuotaLedger::Capacity(const Account& account) const {
  return account.quota.burst + ExtraBurst(account);
}

// If nobody reports, other instances keep the ledgers now.
double QuotaLedger::Coverage(TimePoint now) const {
  const auto reporting = static_cast<double>(std::count_if(
      reporters_.begin(), reporters_.end(), [now](const auto& reporter) {
        return now - reporter.second.heard_at < kReporterLifetime;
      }));
  return reporting > 0 ? reporting / static_cast<double>(reporters_.size()) : 1;
}

QuotaLedger::Account* QuotaLedger::Find(TimePoint now,
                                        const std::string& organisation) {
  const std::optional<RequestQuota> quota = quota_(organisation);
  if (!quota || !quota->is_limited()) {
    accounts_.erase(organisation);
    return nullptr;
  }
  const auto [found, added] = accounts_.try_emplace(organisation, now);
  Account& account = found->second;
  account.quota = *quota;
  const double coverage = Coverage(now);
  const double capacity = Capacity(account) * coverage;
  const double accrued =
      Rate(account) * coverage * Seconds(now - account.updated_at);
  account.tokens =
      added ? capacity : std::min(capacity, account.tokens + accrued);
  account.updated_at = now;
  return &account;
}

void QuotaLedger::Charge(TimePoint now,
                         Account& account,
                         const QuotaCounts& counts) const {
  account.tokens =
      std::max(account.tokens - static_cast<double>(counts.admitted),
               -account.quota.rate * kMaxDebtTime.count());
  // A request adds what the mean loses over its half-life.
  const double per_request = std::log(2) / Seconds(kDemandHalfLife);
  const double current = account.demand.At(now);
  account.demand.Add(
      now, current + static_cast<double>(counts.asked) * per_request, 1);
}

// Another ledger, or an earlier process, may have given out the burst.
void QuotaLedger::LimitBurstOfTakeover(TimePoint now, Account& account) const {
  if (!account.takeover_at || now - *account.takeover_at >= kReporterLifetime) {
    account.takeover_since = now;
  }
  account.takeover_at = now;
  if (now - account.takeover_since < kReporterLifetime) {
    account.tokens = std::min(account.tokens, ExtraBurst(account) / 2);
  }
}

std::optional<std::vector<QuotaShare>> QuotaLedger::OnReport(
    TimePoint now,
    const QuotaReport& report) {
  AllowForPause(now);
  if (!reporters_.contains(report.sender) &&
      !registered_.contains(report.sender) &&
      reporters_.size() >= registered_.size() + kMaxUnregistered) {
    return std::nullopt;
  }
  const auto [found, is_new] = reporters_.try_emplace(report.sender);
  Reporter& reporter = found->second;
  if (is_new || reporter.process != report.process) {
    reporter = Reporter{report.process, 0, now, {}};
  }
  if (report.sequence <= reporter.sequence) {
    return std::nullopt;
  }
  reporter.sequence = report.sequence;
  reporter.heard_at = now;
  std::vector<QuotaShare> shares;
  for (const OrganisationUse& use : report.uses) {
    Account* const account = Find(now, use.organisation);
    if (account == nullptr) {
      continue;
    }
    const auto [known, is_first] =
        reporter.counts.try_emplace(use.organisation, use.acknowledged);
    // Another ledger may have counted more of it meanwhile.
    const bool was_elsewhere = known->second.asked < use.acknowledged.asked;
    if (use.is_replacement || was_elsewhere ||
        (is_first && use.acknowledged.asked > 0)) {
      LimitBurstOfTakeover(now, *account);
    }
    Charge(now, *account,
           Difference(use.total,
                      was_elsewhere ? use.acknowledged : known->second));
    known->second = use.total;
    account->reported_at = now;
    Decide(now, *account);
    // The notice that a limit has ended may have been lost.
    if (account->share < 1 || now - account->noticed_at < kQuotaShareLifetime) {
      shares.push_back(
          {use.organisation, account->share, account->retry_after});
    }
  }
  return shares;
}

void QuotaLedger::Decide(TimePoint now, Account& account) const {
  const double rate = Rate(account) * Coverage(now);
  const double demand = account.demand.At(now);
  const double level_after_reaction =
      account.tokens - (demand - rate) * kReactionTime.count();
  const bool lasts = account.share < 1
                         ? demand <= rate && account.tokens >= 0
                         : level_after_reaction >= 0 || demand <= rate;
  if (lasts) {
    account.share = 1;
    account.retry_after = Duration::zero();
    return;
  }
  const double admitted_rate =
      std::max(0.0, rate + account.tokens / kCorrectionTime.count());
  account.share = demand > 0 ? std::min(1.0, admitted_rate / demand) : 1;
  // The requests of the last second that were not admitted come again. They can
  // be admitted once the quota has grown by as many.
  const double excess =
      std::max(0.0, demand - rate) - std::min(0.0, account.tokens);
  account.retry_after = std::clamp(
      duration_cast<Duration>(duration<double>(excess / std::max(rate, 1e-3))),
      kMinRetryAfter, kMaxRetryAfter);
}

std::vector<QuotaShare> QuotaLedger::TakeNotices(TimePoint now) {
  AllowForPause(now);
  std::erase_if(reporters_, [this, now](const auto& reporter) {
    return !registered_.contains(reporter.first) &&
           now - reporter.second.heard_at >= kReporterLifetime;
  });
  std::vector<std::string> names;
  for (const auto& [organisation, account] : accounts_) {
    names.push_back(organisation);
  }
  std::vector<QuotaShare> notices;
  for (const std::string& organisation : names) {
    Account* const account = Find(now, organisation);
    // Another ledger decides about organisations that nobody reports here.
    if (account == nullptr || now - account->reported_at >= kReporterLifetime) {
      continue;
    }
    Decide(now, *account);
    const bool was_limited = account->noticed_share < 1;
    const bool is_limited = account->share < 1;
    const bool changed =
        was_limited != is_limited ||
        std::abs(account->share - account->noticed_share) >= kNoticedChange;
    const bool is_due =
        is_limited && now - account->noticed_at >= kNoticeInterval;
    if (changed || is_due) {
      account->noticed_share = account->share;
      account->noticed_at = now;
      notices.push_back({organisation, account->share, account->retry_after});
    }
  }
  return notices;
}

std::optional<double> QuotaLedger::Level(TimePoint now,
                                         const std::string& organisation) {
  const Account* const account = Find(now, organisation);
  return account == nullptr ? std::nullopt : std::optional(account->tokens);
}

}  // namespace greengage
