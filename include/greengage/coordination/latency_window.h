// Quantiles of a duration over a sliding window, kept in a ring of time slices.
#ifndef GREENGAGE_COORDINATION_LATENCY_WINDOW_H_
#define GREENGAGE_COORDINATION_LATENCY_WINDOW_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "greengage/state/time.h"

namespace greengage {

// Counts durations from 16 us to about 17 s in buckets that grow by a quarter
// of an octave, so that a quantile is at most 19 % too high. Values that leave
// the window are dropped one slice at a time. Not thread-safe.
class LatencyWindow {
 public:
  explicit LatencyWindow(Duration slice = std::chrono::milliseconds(250));

  void Record(TimePoint now, Duration value);

  // Returns the upper edge of the bucket that holds quantile `q` (0 to 1) of
  // the values in the window. Empty if there are fewer than `min_count` values.
  std::optional<Duration> Quantile(TimePoint now,
                                   double q,
                                   size_t min_count = 1) const;

  size_t count(TimePoint now) const;

 private:
  static constexpr size_t kSlices = 4;
  static constexpr size_t kBuckets = 82;

  struct Slice {
    int64_t number = -1;
    uint32_t count = 0;
    std::array<uint32_t, kBuckets> buckets{};
  };

  int64_t SliceNumber(TimePoint now) const;
  bool IsRecent(const Slice& slice, int64_t current) const;

  Duration slice_;
  std::array<Slice, kSlices> slices_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_LATENCY_WINDOW_H_
