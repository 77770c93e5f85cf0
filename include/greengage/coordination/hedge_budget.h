// The share of extra load that hedging may put on the searchers.
#ifndef GREENGAGE_COORDINATION_HEDGE_BUDGET_H_
#define GREENGAGE_COORDINATION_HEDGE_BUDGET_H_

#include <array>
#include <cstdint>
#include <mutex>

#include "greengage/state/rank.h"
#include "greengage/state/time.h"

namespace greengage {

// One for the whole instance. Each sub-request of a rank earns a share of a
// hedge of that rank, less the more its rank waits in queues, so that hedging
// ends before it could make an overload worse. Thread-safe.
class HedgeBudget {
 public:
  // `percent` of the sub-requests sent, at most, are hedges.
  explicit HedgeBudget(double percent);

  // Follows a changed configuration.
  void set_percent(double percent);

  // `count` sub-requests of `rank` were sent for the first time.
  void OnSent(Rank rank, size_t count);

  // An answer tells how its time divides into waiting and service.
  void OnAnswer(Rank rank, Duration queue_time, Duration service_time);

  // Takes the right to one hedge; false when there is none left.
  bool TrySpend(Rank rank);

 private:
  struct Account {
    double tokens = 0;
    double waiting_share = 0;  // Recent share of time spent in queues, 0 to 1.
  };

  double share_;
  std::mutex mutex_;
  std::array<Account, kRankCount> accounts_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_HEDGE_BUDGET_H_
