// Selection of the instances that watch the platform for a new configuration.
#ifndef GREENGAGE_COORDINATION_WATCHER_SET_H_
#define GREENGAGE_COORDINATION_WATCHER_SET_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "greengage/coordination/member_table.h"
#include "greengage/state/instance.h"

namespace greengage {

// Watchers per data centre. This bounds the number of watch requests pending at
// the platform, independently of the number of instances.
inline constexpr size_t kWatchersPerDataCentre = 2;

// Returns the watchers among the eligible members of `data_centre`, by
// descending rendezvous weight. The result is equal on all instances with equal
// tables.
std::vector<const Instance*> Watchers(const MemberTable& table,
                                      std::string_view data_centre);

// Returns true if the instance `table.self_id` is a watcher.
bool ShouldWatch(const MemberTable& table);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_WATCHER_SET_H_
