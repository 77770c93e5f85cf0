// What one instance uses of a bound that all instances keep together.
#ifndef GREENGAGE_COORDINATION_INSTANCE_SHARE_H_
#define GREENGAGE_COORDINATION_INSTANCE_SHARE_H_

#include <cstddef>

namespace greengage {

// Of a bound that is shared by all instances, so much is used: instances that
// have just come are not counted by all yet.
inline constexpr double kSharedLimitUsage = 0.8;

// Of a number that is divided among `instances`, one at least.
inline double InstanceShare(double whole, size_t instances) {
  return whole * kSharedLimitUsage / static_cast<double>(instances);
}

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_INSTANCE_SHARE_H_
