// The conditions and the limit for retries of failed sub-requests.
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

// True if a sub-request that ended with `answer` may be sent to another
// replica. It may not after overload, an expired deadline or a cancellation;
// and a non-idempotent one only if it provably did not run.
bool IsRetryable(const SubRequest& request, const SubAnswer& answer);

// A token budget per service and rank. Thread-safe.
class RetryBudget {
 public:
  // Each sub-request earns `percent` of a retry. At most `burst` retries are
  // accumulated; a service starts with that many.
  RetryBudget(double percent, double burst);

  // Applies a changed configuration.
  void set_percent(double percent);

  void OnSent(const std::string& service, Rank rank, size_t count);

  // Spends the tokens of `count` retries. Returns false, without effect, if
  // there are fewer.
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
