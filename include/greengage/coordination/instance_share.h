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

// Returns the share of `whole` that an instance may use until it is known what
// the others, and the process before it, have used of its own share. All these
// shares are the part of `whole` beyond the shares of InstanceShare().
// `instances` must be at least 1.
inline double JoiningShare(double whole, size_t instances) {
  return whole * (1 - kSharedLimitUsage) / static_cast<double>(instances);
}

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_INSTANCE_SHARE_H_
