#include "greengage/coordination/data_centre_distance.h"

#include <algorithm>

namespace greengage {
namespace {

// The shortest answer of this and of the previous period counts.
constexpr Duration kPeriod = std::chrono::seconds(5);

// Assumed for another data centre before anything is known of it: a round trip
// between the users' regions.
constexpr Duration kUnknownDistance = std::chrono::milliseconds(30);

}  // namespace

void DataCentreDistance::Record(TimePoint now,
                                const std::string& data_centre,
                                Duration latency) {
  Shortest& shortest = shortest_[data_centre];
  if (!shortest.now || now - shortest.since >= kPeriod) {
    shortest.before = shortest.now;
    shortest.now = latency;
    shortest.since = now;
    return;
  }
  shortest.now = std::min(*shortest.now, latency);
}

std::optional<Duration> DataCentreDistance::Value(const Shortest& shortest) {
  if (shortest.now && shortest.before) {
    return std::min(*shortest.now, *shortest.before);
  }
  return shortest.now;
}

Duration DataCentreDistance::Of(const std::string& data_centre) const {
  const auto found = shortest_.find(data_centre);
  const std::optional<Duration> known =
      found == shortest_.end() ? std::nullopt : Value(found->second);
  if (!known) {
    return data_centre == own_ ? Duration::zero() : kUnknownDistance;
  }
  Duration nearest = *known;
  for (const auto& [name, shortest] : shortest_) {
    if (const auto value = Value(shortest)) {
      nearest = std::min(nearest, *value);
    }
  }
  return *known - nearest;
}

}  // namespace greengage
