// Decides how to treat requests under which searchers ended.
#ifndef GREENGAGE_COORDINATION_CRASH_SUSPECTS_H_
#define GREENGAGE_COORDINATION_CRASH_SUSPECTS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "greengage/state/crash_report.h"
#include "greengage/state/request_digest.h"
#include "greengage/state/time.h"

namespace greengage {

enum class SuspectDecision : uint8_t {
  kServe,        // Nothing speaks against the request.
  kServeWarily,  // It may end a searcher: one attempt at a time.
  kDefer,        // Another copy of a suspected request is under way here.
  kReject,       // It has ended too many searchers.
};

struct SuspectVerdict {
  SuspectDecision decision = SuspectDecision::kServe;
  size_t crashes = 0;      // Searchers that ended while they had it.
  Duration retry_after{};  // With kDefer and kReject.
  // Slots one of which the request needs, with kServeWarily.
  size_t slots = 0;
};

struct CrashSuspectOptions {
  // A request that ended this many searchers is rejected. Of those that have
  // the parts of one query at the same time, only one counts.
  size_t max_crashes = 3;
  // How long it is rejected after the latest end. It is then tried once, in
  // case the searchers were repaired.
  Duration rejection_time = std::chrono::minutes(10);
  // Retry delay of a copy of a suspected request.
  Duration deferral_time = std::chrono::milliseconds(200);
  // A request that was not suspected when it arrived is not sent any more this
  // long after the report of another.
  Duration late_send_time = std::chrono::seconds(2);
  // Time after the end of a searcher in which the ends of others with the same
  // cause become known.
  Duration settle_time = std::chrono::milliseconds(300);
  // If at least this many other searchers ended within `common_cause_time`
  // without having the request, it is not suspected, unless each searcher ended
  // that had it, or searchers have ended under it before.
  size_t common_cause_crashes = 3;
  Duration common_cause_time = std::chrono::seconds(1);
  // How long a report is kept.
  Duration report_lifetime = std::chrono::hours(1);
  // Digests that are kept. Beyond it, the one with the oldest report goes.
  size_t max_digests = 4096;
};

// What became of a request under which a searcher ended.
struct CrashedRequest {
  // Ids of the searchers that it was sent to. Some may end without a report,
  // since the attempts that are left are cancelled when a request ends.
  std::vector<std::string> sent_to;
  // Several attempts were lost, and no searcher answered.
  bool lost_everywhere = false;
};

struct CrashReportChanges {
  std::vector<CrashReport> share;
  std::vector<std::string> withdraw;  // Keys of shared reports.
};

// A request that ends each searcher that runs it would end all of them, since
// its caller repeats it. A searcher that ends takes other requests with it, so
// one report proves nothing; but only the cause is there each time, and a
// request that is answered is not the cause. Instances share their reports:
// the repeats reach any of them. Reports are a set, so that it does not matter
// in which order and how often they arrive.
//
// Reports take time to reach the other instances. So that copies at several of
// them cannot end more searchers than one after the other, each copy of a
// suspected request needs one of `max_crashes` slots, which all instances
// share, before it is sent to any searcher.
//
// Not thread-safe.
class CrashSuspects {
 public:
  explicit CrashSuspects(CrashSuspectOptions options) : options_(options) {}

  // Reports that a searcher ended at this instance.
  void OnCrash(TimePoint now,
               const CrashReport& report,
               CrashedRequest request);

  // Returns what this instance must share of its reports. Drops those that have
  // a cause in common with the ends of other searchers, which may be known only
  // after a report was shared. Must be called after OnCrash() and again once
  // `settle_time` has passed.
  CrashReportChanges TakeChanges(TimePoint now);

  // Adds a report of another instance. Returns false if it is known.
  bool Add(TimePoint now, const CrashReport& report);

  // Removes a report that another instance has withdrawn.
  void Remove(const std::string& key);

  SuspectVerdict Judge(TimePoint now, const RequestDigest& digest) const;

  // Judges whether an attempt of the request `request_id`, which was admitted,
  // may be sent now. `has_slot` is true if the request was suspected then. The
  // decision is kServe, kDefer or kReject.
  SuspectVerdict JudgeSend(TimePoint now,
                           const RequestDigest& digest,
                           const std::string& request_id,
                           bool has_slot) const;

  // As Judge(), for a request that is served unless the verdict is kDefer or
  // kReject. After kServeWarily, Release() must follow.
  SuspectVerdict Admit(TimePoint now, const RequestDigest& digest);

  void Release(const RequestDigest& digest) { under_way_.erase(digest); }

  // Reports that all searchers that ran the request answered. Forgets its
  // reports and returns the keys of those to withdraw.
  std::vector<std::string> OnAnswered(const RequestDigest& digest);

  // Returns true if there is a report of the request.
  bool IsSuspected(const RequestDigest& digest) const {
    return suspects_.contains(digest);
  }

  Duration deferral_time() const { return options_.deferral_time; }

  // Number of slots of each request.
  size_t max_slots() const { return options_.max_crashes; }

  // Forgets reports that are too old and returns them.
  std::vector<CrashReport> Expire(TimePoint now);

  size_t size() const { return suspects_.size(); }

 private:
  struct Entry {
    CrashReport report;
    TimePoint at;
  };
  using Entries = std::map<std::string, Entry>;  // By key.

  struct Crash {
    CrashReport report;
    TimePoint at;
    CrashedRequest request;
    bool is_shared = false;
  };

  // Returns true if the entries have a report of another part of the same
  // query.
  static bool HasOtherPart(const Entries& entries, const CrashReport& report);
  static size_t CountCrashes(const Entries& entries);
  static TimePoint Latest(const Entries& entries);
  bool HasCommonCause(const Crash& crash) const;
  // Returns true if searchers ended under such requests some time before.
  bool HasEarlierReport(const Crash& crash) const;
  void EvictOldest();

  const CrashSuspectOptions options_;
  std::unordered_map<RequestDigest, Entries, RequestDigestHash> suspects_;
  std::unordered_set<RequestDigest, RequestDigestHash> under_way_;
  std::vector<Crash> unsettled_;  // Reports that may be dropped yet.
  std::vector<Crash> recent_;     // All that this instance saw lately.
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_CRASH_SUSPECTS_H_
