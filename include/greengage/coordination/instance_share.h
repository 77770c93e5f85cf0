// Divides a limit that all instances share among them.
#ifndef GREENGAGE_COORDINATION_INSTANCE_SHARE_H_
#define GREENGAGE_COORDINATION_INSTANCE_SHARE_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <limits>
#include <string>
#include <vector>

#include "greengage/state/time.h"

namespace greengage {

// Fraction of a shared limit that is used. The rest covers instances that have
// just joined and that not every other instance counts yet.
inline constexpr double kSharedLimitUsage = 0.8;

// Returns the share of `whole` that each of `instances` may use. `instances`
// must be at least 1.
inline double InstanceShare(double whole, size_t instances) {
  return whole * kSharedLimitUsage / static_cast<double>(instances);
}

// Returns the share of `whole` that an instance may use until it is known what
// the others, and the process before it, have used of its own share. All these
// shares are the part of `whole` beyond the shares of InstanceShare().
// `instances` must be at least 1.
inline double JoiningShare(double whole, size_t instances) {
  return whole * (1 - kSharedLimitUsage) / static_cast<double>(instances);
}

// The part of one instance in a limit on the requests per second of all.
struct LimitShare {
  double fraction = 1;  // Of the limit that the instance may use (0 to 1).
  // Place of the instance among those that share the limit (0 to 1), the same
  // distance from one to the next.
  double place = 0;
  // The wall-clock time since the epoch, less the time since the epoch of the
  // clock by which the decisions are made.
  Duration wall_clock_offset{};
};

// Returns the place among `sharers` instances of the one named `id`. `ids` are
// those of the known ones, sorted. An instance that is not among them gets a
// place by its name, since others that start may know no more than it does.
// `sharers` must be at least 1.
inline double PlaceAmong(const std::vector<std::string>& ids,
                         const std::string& id,
                         size_t sharers) {
  const auto found = std::lower_bound(ids.begin(), ids.end(), id);
  if (found == ids.end() || *found != id) {
    return static_cast<double>(std::hash<std::string>()(id)) /
           static_cast<double>(std::numeric_limits<size_t>::max());
  }
  return static_cast<double>(found - ids.begin()) /
         static_cast<double>(sharers);
}

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_INSTANCE_SHARE_H_
