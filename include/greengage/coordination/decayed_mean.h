// Exponentially weighted mean that decays to a baseline between samples.
#ifndef GREENGAGE_COORDINATION_DECAYED_MEAN_H_
#define GREENGAGE_COORDINATION_DECAYED_MEAN_H_

#include <chrono>
#include <cmath>

#include "greengage/state/time.h"

namespace greengage {

// Not thread-safe.
class DecayedMean {
 public:
  DecayedMean(TimePoint now, double baseline, Duration half_life)
      : baseline_(baseline),
        half_life_(half_life),
        value_(baseline),
        updated_at_(now) {}

  double At(TimePoint now) const {
    const double half_lives = std::chrono::duration<double>(now - updated_at_) /
                              std::chrono::duration<double>(half_life_);
    return baseline_ + (value_ - baseline_) * std::exp2(-half_lives);
  }

  // Moves the mean towards `sample` by `weight`, from 0 to 1.
  void Add(TimePoint now, double sample, double weight) {
    const double current = At(now);
    value_ = current + weight * (sample - current);
    updated_at_ = now;
  }

  void Reset() { value_ = baseline_; }

 private:
  const double baseline_;
  const Duration half_life_;
  double value_;
  TimePoint updated_at_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_DECAYED_MEAN_H_
