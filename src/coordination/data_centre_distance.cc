#include "greengage/coordination/data_centre_distance.h"

#include <algorithm>

namespace greengage {
namespace {

// The estimate uses the lowest latency of the current and the previous period.
constexpr Duration kPeriod = std::chrono::seconds(5);

// Distance of another data centre without a recorded latency: a round trip
// between the users' regions.
constexpr Duration kDefaultDistance = std::chrono::milliseconds(30);

}  // namespace

void DataCentreDistance::Record(TimePoint now,
                                const std::string& data_centre,
                                Duration latency) {
  PeriodMinimum& minimum = minimums_[data_centre];
  if (!minimum.current || now - minimum.period_start >= kPeriod) {
    minimum.previous = minimum.current;
    minimum.current = latency;
    minimum.period_start = now;
    return;
  }
  minimum.current = std::min(*minimum.current, latency);
}

std::optional<Duration> DataCentreDistance::RecentMinimum(
    const PeriodMinimum& minimum) {
  if (minimum.current && minimum.previous) {
    return std::min(*minimum.current, *minimum.previous);
  }
  return minimum.current;
}

Duration DataCentreDistance::Of(const std::string& data_centre) const {
  const auto found = minimums_.find(data_centre);
  const std::optional<Duration> known =
      found == minimums_.end() ? std::nullopt : RecentMinimum(found->second);
  if (!known) {
    return data_centre == own_ ? Duration::zero() : kDefaultDistance;
  }
  Duration nearest = *known;
  for (const auto& [name, minimum] : minimums_) {
    if (const auto value = RecentMinimum(minimum)) {
      nearest = std::min(nearest, *value);
    }
  }
  return *known - nearest;
}

}  // namespace greengage
