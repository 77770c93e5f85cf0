#include "greengage/coordination/crash_suspects.h"

#include <algorithm>
#include <set>
#include <utility>

namespace greengage {
namespace {

// Identifies a process of a searcher.
std::pair<std::string, std::chrono::milliseconds> ProcessOf(
    const CrashReport& report) {
  return {report.searcher, report.started};
}

}  // namespace

void CrashSuspects::OnCrash(TimePoint now,
                            const CrashReport& report,
                            CrashedRequest request) {
  recent_.push_back({report, now, request});
  const auto found = suspects_.find(report.digest);
  if (found != suspects_.end() && HasOtherPart(found->second, report)) {
    return;
  }
  Add(now, report);
  unsettled_.push_back({report, now, std::move(request)});
}

bool CrashSuspects::HasOtherPart(const Entries& entries,
                                 const CrashReport& report) {
  return std::any_of(entries.begin(), entries.end(), [&](const auto& item) {
    const CrashReport& known = item.second.report;
    return known.request_id == report.request_id &&
           known.service != report.service;
  });
}

CrashReportChanges CrashSuspects::TakeChanges(TimePoint now) {
  CrashReportChanges changes;
  std::erase_if(unsettled_, [&](Crash& crash) {
    const std::string key = KeyOf(crash.report);
    const auto found = suspects_.find(crash.report.digest);
    if (found == suspects_.end() || !found->second.contains(key)) {
      return true;
    }
    if (HasCommonCause(crash)) {
      Remove(key);
      if (crash.is_shared) {
        changes.withdraw.push_back(key);
      }
      return true;
    }
    if (!std::exchange(crash.is_shared, true)) {
      changes.share.push_back(crash.report);
    }
    return now - crash.at >= options_.settle_time;
  });
  std::erase_if(recent_, [&](const Crash& crash) {
    return now - crash.at >=
           options_.settle_time + 2 * options_.common_cause_time;
  });
  return changes;
}

bool CrashSuspects::HasEarlierReport(const Crash& crash) const {
  const auto found = suspects_.find(crash.report.digest);
  return found != suspects_.end() &&
         std::any_of(
             found->second.begin(), found->second.end(), [&](const auto& item) {
               return item.second.at + options_.common_cause_time < crash.at;
             });
}

// Several instances may have repeats of a request at the same time, which end
// different searchers. So the ends of others say little about a request that
// was lost everywhere.
bool CrashSuspects::HasCommonCause(const Crash& crash) const {
  if (crash.request.lost_everywhere || HasEarlierReport(crash)) {
    return false;
  }
  std::set<std::string> had_it(crash.request.sent_to.begin(),
                               crash.request.sent_to.end());
  std::set<std::string> ended;
  for (const Crash& other : recent_) {
    const Duration apart =
        other.at > crash.at ? other.at - crash.at : crash.at - other.at;
    if (apart > options_.common_cause_time) {
      continue;
    }
    ended.insert(other.report.searcher);
    if (other.report.digest == crash.report.digest) {
      had_it.insert(other.request.sent_to.begin(), other.request.sent_to.end());
    }
  }
  const auto without_it = std::count_if(
      ended.begin(), ended.end(),
      [&](const std::string& searcher) { return !had_it.contains(searcher); });
  return static_cast<size_t>(without_it) >= options_.common_cause_crashes;
}

bool CrashSuspects::Add(TimePoint now, const CrashReport& report) {
  const bool is_new = suspects_[report.digest]
                          .try_emplace(KeyOf(report), Entry{report, now})
                          .second;
  if (suspects_.size() > options_.max_digests) {
    EvictOldest();
  }
  return is_new;
}

void CrashSuspects::EvictOldest() {
  const auto oldest = std::min_element(
      suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
        return Latest(a.second) < Latest(b.second);
      });
  suspects_.erase(oldest);
}

void CrashSuspects::Remove(const std::string& key) {
  for (auto suspect = suspects_.begin(); suspect != suspects_.end();
       ++suspect) {
    if (suspect->second.erase(key) > 0) {
      if (suspect->second.empty()) {
        suspects_.erase(suspect);
      }
      return;
    }
  }
}

// Several requests may have been at one searcher.
size_t CrashSuspects::CountCrashes(const Entries& entries) {
  std::set<std::pair<std::string, std::chrono::milliseconds>> processes;
  for (const auto& [key, entry] : entries) {
    processes.insert(ProcessOf(entry.report));
  }
  return processes.size();
}

TimePoint CrashSuspects::Latest(const Entries& entries) {
  return std::max_element(entries.begin(), entries.end(),
                          [](const auto& a, const auto& b) {
                            return a.second.at < b.second.at;
                          })
      ->second.at;
}

SuspectVerdict CrashSuspects::Judge(TimePoint now,
                                    const RequestDigest& digest) const {
  const auto found = suspects_.find(digest);
  if (found == suspects_.end()) {
    return {};
  }
  SuspectVerdict verdict;
  verdict.crashes = CountCrashes(found->second);
  const TimePoint rejected_until =
      Latest(found->second) + options_.rejection_time;
  if (verdict.crashes >= options_.max_crashes && now < rejected_until) {
    verdict.decision = SuspectDecision::kReject;
    verdict.retry_after = rejected_until - now;
  } else if (under_way_.contains(digest)) {
    verdict.decision = SuspectDecision::kDefer;
    verdict.retry_after = options_.deferral_time;
  } else {
    verdict.decision = SuspectDecision::kServeWarily;
    verdict.slots =
        verdict.crashes >= options_.max_crashes ? 1 : options_.max_crashes;
  }
  return verdict;
}

// A request that arrived before the first report has no slot. It may have
// waited for a connection since, while others learned of the report.
SuspectVerdict CrashSuspects::JudgeSend(TimePoint now,
                                        const RequestDigest& digest,
                                        const std::string& request_id,
                                        bool has_slot) const {
  SuspectVerdict verdict = Judge(now, digest);
  if (verdict.decision == SuspectDecision::kReject) {
    return verdict;
  }
  verdict.decision = SuspectDecision::kServe;
  verdict.slots = 0;
  verdict.retry_after = Duration::zero();
  const auto found = suspects_.find(digest);
  if (has_slot || found == suspects_.end()) {
    return verdict;
  }
  const bool is_late = std::any_of(
      found->second.begin(), found->second.end(), [&](const auto& item) {
        return item.second.report.request_id != request_id &&
               now - item.second.at >= options_.late_send_time;
      });
  if (is_late) {
    verdict.decision = SuspectDecision::kDefer;
    verdict.retry_after = options_.deferral_time;
  }
  return verdict;
}

SuspectVerdict CrashSuspects::Admit(TimePoint now,
                                    const RequestDigest& digest) {
  const SuspectVerdict verdict = Judge(now, digest);
  if (verdict.decision == SuspectDecision::kServeWarily) {
    under_way_.insert(digest);
  }
  return verdict;
}

std::vector<std::string> CrashSuspects::OnAnswered(
    const RequestDigest& digest) {
  std::vector<std::string> keys;
  auto node = suspects_.extract(digest);
  if (!node.empty()) {
    for (const auto& [key, entry] : node.mapped()) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::vector<CrashReport> CrashSuspects::Expire(TimePoint now) {
  std::vector<CrashReport> expired;
  for (auto& [digest, entries] : suspects_) {
    std::erase_if(entries, [&](const auto& item) {
      const bool is_old = now - item.second.at >= options_.report_lifetime;
      if (is_old) {
        expired.push_back(item.second.report);
      }
      return is_old;
    });
  }
  std::erase_if(suspects_,
                [](const auto& suspect) { return suspect.second.empty(); });
  return expired;
}

}  // namespace greengage
