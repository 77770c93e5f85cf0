#include "greengage/coordination/latency_window.h"

#include <algorithm>
#include <cmath>

namespace greengage {

namespace {

constexpr double kSmallestUs = 16;
constexpr double kBucketsPerOctave = 4;

size_t BucketOf(Duration value, size_t buckets) {
  const double us = std::chrono::duration<double, std::micro>(value).count();
  if (us <= kSmallestUs) {
    return 0;
  }
  const double position = std::log2(us / kSmallestUs) * kBucketsPerOctave;
  return std::min(static_cast<size_t>(std::ceil(position)), buckets - 1);
}

Duration UpperEdge(size_t bucket) {
  const double octaves = static_cast<double>(bucket) / kBucketsPerOctave;
  const std::chrono::duration<double, std::micro> edge(kSmallestUs *
                                                       std::exp2(octaves));
  return std::chrono::duration_cast<Duration>(edge);
}

}  // namespace

LatencyWindow::LatencyWindow(Duration slice) : slice_(slice) {}

void LatencyWindow::Record(TimePoint now, Duration value) {
  const int64_t number = SliceNumber(now);
  Slice& slice = slices_[static_cast<size_t>(number) % kSlices];
  if (slice.number != number) {
    slice = Slice{};
    slice.number = number;
  }
  ++slice.count;
  ++slice.buckets[BucketOf(value, kBuckets)];
}

std::optional<Duration> LatencyWindow::Quantile(TimePoint now,
                                                double q,
                                                size_t min_count) const {
  const size_t total = count(now);
  if (total == 0 || total < min_count) {
    return std::nullopt;
  }
  const int64_t current = SliceNumber(now);
  const double target_count = q * static_cast<double>(total);
  size_t cumulative_count = 0;
  for (size_t bucket = 0; bucket < kBuckets; ++bucket) {
    for (const Slice& slice : slices_) {
      cumulative_count += IsRecent(slice, current) ? slice.buckets[bucket] : 0;
    }
    if (static_cast<double>(cumulative_count) >= target_count &&
        cumulative_count > 0) {
      return UpperEdge(bucket);
    }
  }
  return UpperEdge(kBuckets - 1);
}

size_t LatencyWindow::count(TimePoint now) const {
  const int64_t current = SliceNumber(now);
  size_t total = 0;
  for (const Slice& slice : slices_) {
    total += IsRecent(slice, current) ? slice.count : 0;
  }
  return total;
}

int64_t LatencyWindow::SliceNumber(TimePoint now) const {
  return now.time_since_epoch() / slice_;
}

bool LatencyWindow::IsRecent(const Slice& slice, int64_t current) const {
  return slice.number >= 0 &&
         slice.number > current - static_cast<int64_t>(kSlices);
}

}  // namespace greengage
