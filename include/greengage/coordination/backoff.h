// Exponential backoff with jitter.
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

// The delay doubles with each consecutive failure, up to `max_delay`. Each
// delay is drawn from the upper half of its range, so that instances that
// failed together do not retry at the same time. Not thread-safe.
class Backoff {
 public:
  Backoff(BackoffOptions options, uint64_t seed)
      : options_(options),
        next_(options.initial_delay),
        random_(static_cast<std::minstd_rand::result_type>(seed)) {}

  // Returns the delay before the next retry.
  Duration OnFailure() {
    const Duration delay = next_;
    next_ = std::min(next_ * 2, options_.max_delay);
    std::uniform_int_distribution<Duration::rep> jittered(delay.count() / 2,
                                                          delay.count());
    return Duration(jittered(random_));
  }

  void OnSuccess() { next_ = options_.initial_delay; }

 private:
  const BackoffOptions options_;
  Duration next_;
  std::minstd_rand random_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_BACKOFF_H_
