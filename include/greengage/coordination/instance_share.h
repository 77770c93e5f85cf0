// Divides a limit that all instances share among them.
#ifndef GREENGAGE_COORDINATION_INSTANCE_SHARE_H_
#define GREENGAGE_COORDINATION_INSTANCE_SHARE_H_

#include <cstddef>

namespace greengage {

// Fraction of a shared limit that is used. The rest covers instances that have
// just joined and that not every other instance counts yet.
inline constexpr double kSharedLimitUsage = 0.8;

// Returns the share of `whole` that each of `instances` may use. `instances`
// must be at least 1.
inline double InstanceShare(double whole, size_t instances) {
  return whole * kSharedLimitUsage / static_cast<double>(instances);
}

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_INSTANCE_SHARE_H_
