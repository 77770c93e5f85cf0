// What may be sent again after a failure, and how much of it.
#ifndef GREENGAGE_COORDINATION_RETRY_BUDGET_H_
#define GREENGAGE_COORDINATION_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>

#include "greengage/state/query.h"
#include "greengage/state/rank.h"

namespace greengage {

// Whether a sub-request that ended with `answer` may be sent to another
// replica: never when the cause is overload or a deadline, and a
// non-idempotent one only if it is proved not to have run.
bool IsRetryable(const SubRequest& request, const SubAnswer& answer);

// A token budget for each service and rank. Thread-safe.
class RetryBudget {
 public:
  // Each sub-request earns `percent` of a retry; at most `burst` are saved up,
  // which is also what a service starts with.
  RetryBudget(double percent, double burst);

  // Follows a changed configuration.
  void set_percent(double percent);

  void OnSent(const std::string& service, Rank rank, size_t count);

  // Takes `count` retries; false, without effect, when there are fewer.
  bool TrySpend(const std::string& service, Rank rank, size_t count);

 private:
  using Tokens = std::array<double, kRankCount>;

  Tokens& TokensOf(const std::string& service);

  double share_;
  const double burst_;
  std::mutex mutex_;
  std::map<std::string, Tokens, std::less<>> services_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_RETRY_BUDGET_H_
