// A running mean that goes back to its rest value while nothing new comes in.
#ifndef GREENGAGE_COORDINATION_DECAYED_MEAN_H_
#define GREENGAGE_COORDINATION_DECAYED_MEAN_H_

#include <chrono>
#include <cmath>

#include "greengage/state/time.h"

namespace greengage {

// Not thread-safe.
class DecayedMean {
 public:
  DecayedMean(TimePoint now, double rest, Duration half_life)
      : rest_(rest), half_life_(half_life), value_(rest), since_(now) {}

  double At(TimePoint now) const {
    const double lives = std::chrono::duration<double>(now - since_) /
                         std::chrono::duration<double>(half_life_);
    return rest_ + (value_ - rest_) * std::exp2(-lives);
  }

  // Moves the mean towards `sample` by `weight`, from 0 to 1.
  void Add(TimePoint now, double sample, double weight) {
    const double before = At(now);
    value_ = before + weight * (sample - before);
    since_ = now;
  }

  void Reset() { value_ = rest_; }

 private:
  const double rest_;
  const Duration half_life_;
  double value_;
  TimePoint since_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_DECAYED_MEAN_H_
