// Detects that an instance has lost its way to the searchers.
#ifndef GREENGAGE_COORDINATION_SEARCHER_REACH_H_
#define GREENGAGE_COORDINATION_SEARCHER_REACH_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "greengage/state/time.h"

namespace greengage {

// Result of an attempt to reach a searcher on a new connection.
enum class TrialResult : uint8_t {
  kAnswered,
  kUnreachable,  // No connection, or it ended without an answer.
  kSilent,       // The connection was open, and no answer came in time.
};

struct SearcherReachOptions {
  // Searchers that must be unreachable within `window` before trials start.
  size_t min_unreachable = 2;
  Duration window = std::chrono::seconds(2);
  // Searchers of one trial, chosen at random.
  size_t connections = 3;
  // Interval of the trials while the instance is cut off.
  Duration retrial_interval = std::chrono::milliseconds(500);
  // Interval of the trials while it is not.
  Duration trial_interval = std::chrono::seconds(2);
  // Time for which an answer shows that a data centre is reached. It covers
  // several trials, each of which tries few data centres.
  Duration reached_time = std::chrono::seconds(3);
};

// An instance that gets an answer from no searcher may have lost its own
// way, or the searchers may be lost. It cannot tell by itself, but its peers
// can: it asks them to serve its requests, and they refuse if they are cut off
// too.
//
// Attempts that fail only lead to a trial: they concentrate on the searchers
// that are in trouble, and those that succeed may use connections that were
// opened before the cut. Not thread-safe.
class SearcherReach {
 public:
  explicit SearcherReach(SearcherReachOptions options) : options_(options) {}

  // Reports that the searcher answered an attempt, in whichever way.
  void OnAnswered(const std::string& searcher) {
    unreachable_at_.erase(searcher);
    answered_since_trial_ = true;
  }

  // Reports that a searcher in `data_centre` answered an attempt or a trial.
  void OnReached(TimePoint now, const std::string& data_centre) {
    reached_at_[data_centre] = now;
  }

  // Reports that the searcher could not be connected to, or that its connection
  // ended or stayed silent.
  void OnUnreachable(TimePoint now, const std::string& searcher) {
    unreachable_at_[searcher] = now;
  }

  // Returns true if peers are to serve the requests of this instance.
  bool is_cut_off() const { return is_cut_off_; }

  // Returns whether a searcher in a data centre that `filter` accepts has
  // answered lately, and since the instance was found to be cut off. The
  // searchers of most data centres may be lost while those of others are not.
  bool HasReached(TimePoint now,
                  const std::function<bool(const std::string&)>& filter) const;

  // Returns how many searchers to try to reach now; zero if no trial is due.
  size_t TakeTrial(TimePoint now);

  // Reports one result of the latest trial. The majority decides. Searchers
  // that have much to do may be silent; they count as unreachable only if no
  // searcher has answered an attempt since the trial began.
  void OnTrialResult(TrialResult result);

 private:
  const SearcherReachOptions options_;
  std::map<std::string, TimePoint> unreachable_at_;  // By searcher's id.
  std::map<std::string, TimePoint> reached_at_;      // By data centre.
  bool is_cut_off_ = false;
  bool answered_since_trial_ = false;
  TimePoint next_trial_;
  size_t succeeded_ = 0;
  size_t failed_ = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_SEARCHER_REACH_H_
