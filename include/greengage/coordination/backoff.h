// The pause after a failed call, growing with each failure in a row.
#ifndef GREENGAGE_COORDINATION_BACKOFF_H_
#define GREENGAGE_COORDINATION_BACKOFF_H_

#include <chrono>
#include <cstdint>
#include <random>

#include "greengage/state/time.h"

namespace greengage {

struct BackoffOptions {
  Duration initial_delay = std::chrono::milliseconds(100);
  Duration max_delay = std::chrono::seconds(1);
};

// Pauses double up to the max_delay. Each is drawn from the upper half of its
// range, so that instances that failed together do not return together. Not
// thread-safe.
class Backoff {
 public:
  Backoff(BackoffOptions options, uint64_t seed)
      : options_(options),
        next_(options.initial_delay),
        random_(static_cast<std::minstd_rand::result_type>(seed)) {}

  // How long to wait after one more failure.
  Duration OnFailure() {
    const Duration pause = next_;
    next_ = std::min(next_ * 2, options_.max_delay);
    std::uniform_int_distribution<Duration::rep> part(pause.count() / 2,
                                                      pause.count());
    return Duration(part(random_));
  }

  void OnSuccess() { next_ = options_.initial_delay; }

 private:
  const BackoffOptions options_;
  Duration next_;
  std::minstd_rand random_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_BACKOFF_H_
