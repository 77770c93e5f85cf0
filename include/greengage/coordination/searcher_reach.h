// Detects that an instance has lost its way to the searchers.
#ifndef GREENGAGE_COORDINATION_SEARCHER_REACH_H_
#define GREENGAGE_COORDINATION_SEARCHER_REACH_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "greengage/state/endpoint.h"
#include "greengage/state/time.h"

namespace greengage {

struct SearcherReachOptions {
  // Searchers that must be unreachable before the instance counts as cut off.
  size_t min_unreachable = 3;
  // Time in which the results of attempts are compared.
  Duration window = std::chrono::seconds(1);
  // Interval of the trial connections while cut off, and their number.
  Duration trial_interval = std::chrono::milliseconds(500);
  size_t trials = 3;
  // How long the instance does not count as cut off after its peers did not
  // reach the searchers either.
  Duration doubt_time = std::chrono::seconds(2);
};

// An instance that reaches most searchers no longer, while they answer others,
// has lost its own way. It cannot tell this from the loss of the searchers by
// itself, but its peers can: it asks them to serve its requests, and they
// refuse if they do not reach the searchers either.
//
// Not thread-safe.
class SearcherReach {
 public:
  explicit SearcherReach(SearcherReachOptions options) : options_(options) {}

  // Reports that the searcher answered an attempt, in whichever way.
  void OnAnswered(TimePoint now, const std::string& searcher);

  // Reports that the searcher could not be connected to, or that its connection
  // ended or stayed silent.
  void OnUnreachable(TimePoint now,
                     const std::string& searcher,
                     const Endpoint& endpoint);

  // Returns true if peers are to serve the requests of this instance.
  bool is_cut_off() const { return is_cut_off_; }

  // Reports that no peer could serve a request either.
  void OnPeersRefused(TimePoint now);

  // Returns the searchers to connect to now, as a trial. Empty unless cut off.
  std::vector<Endpoint> TakeTrials(TimePoint now, std::minstd_rand& random);

  // Reports the result of a trial. The instance is no longer cut off once a
  // majority of the trials that were taken together have succeeded.
  void OnTrial(bool succeeded);

  // Searchers that were unreachable in the last window, and those that
  // answered.
  size_t CountUnreachable(TimePoint now) const;
  size_t CountAnswered(TimePoint now) const;

 private:
  struct Searcher {
    Endpoint endpoint;
    TimePoint answered_at;
    TimePoint unreachable_at;
  };

  bool IsUnreachable(TimePoint now, const Searcher& searcher) const;
  void Forget(TimePoint now);
  void Reset();

  const SearcherReachOptions options_;
  std::map<std::string, Searcher> searchers_;  // By id.
  bool is_cut_off_ = false;
  TimePoint doubted_until_;
  TimePoint next_trial_;
  size_t trials_taken_ = 0;
  size_t trials_succeeded_ = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_SEARCHER_REACH_H_
