// Limit on the extra load that hedging puts on the searchers.
#ifndef GREENGAGE_COORDINATION_HEDGE_BUDGET_H_
#define GREENGAGE_COORDINATION_HEDGE_BUDGET_H_

#include <array>
#include <cstdint>
#include <mutex>

#include "greengage/state/rank.h"
#include "greengage/state/time.h"

namespace greengage {

// A token budget per rank, shared by the whole instance. Each sub-request earns
// a fraction of a hedge of its rank. The fraction shrinks as the rank spends
// more of its time in queues, so that hedging stops before it can aggravate an
// overload. Thread-safe.
class HedgeBudget {
 public:
  // At most `percent` of the sub-requests sent are hedges.
  explicit HedgeBudget(double percent);

  // Applies a changed configuration.
  void set_percent(double percent);

  // Counts `count` sub-requests of `rank` that were sent for the first time.
  void OnSent(Rank rank, size_t count);

  // Records the queue and service times reported with an answer.
  void OnAnswer(Rank rank, Duration queue_time, Duration service_time);

  // Spends the tokens of one hedge. Returns false if the budget is exhausted.
  bool TrySpend(Rank rank);

 private:
  struct Account {
    double tokens = 0;
    double queueing_ratio = 0;  // Recent fraction of time spent in queues.
  };

  double share_;
  std::mutex mutex_;
  std::array<Account, kRankCount> accounts_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_HEDGE_BUDGET_H_
