// The pause after a failed call, growing with each failure in a row.
#ifndef GREENGAGE_COORDINATION_BACKOFF_H_
#define GREENGAGE_COORDINATION_BACKOFF_H_

#include <chrono>
#include <cstdint>
#include <random>

#include "greengage/state/time.h"

namespace greengage {

struct BackoffOptions {
  Duration first = std::chrono::milliseconds(100);
  Duration longest = std::chrono::seconds(1);
};

// Pauses double up to the longest. Each is drawn from the upper half of its
// range, so that instances that failed together do not return together. Not
// thread-safe.
class Backoff {
 public:
  Backoff(BackoffOptions options, uint64_t seed)
      : options_(options),
        next_(options.first),
        random_(static_cast<std::minstd_rand::result_type>(seed)) {}

  // How long to wait after one more failure.
  Duration OnFailure() {
    const Duration pause = next_;
    next_ = std::min(next_ * 2, options_.longest);
    std::uniform_int_distribution<Duration::rep> part(pause.count() / 2,
                                                      pause.count());
    return Duration(part(random_));
  }

  void OnSuccess() { next_ = options_.first; }

 private:
  const BackoffOptions options_;
  Duration next_;
  std::minstd_rand random_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_BACKOFF_H_
