// Which instances watch the platform for a new configuration.
#ifndef GREENGAGE_COORDINATION_WATCHER_SET_H_
#define GREENGAGE_COORDINATION_WATCHER_SET_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "greengage/coordination/member_table.h"
#include "greengage/state/instance.h"

namespace greengage {

// Watchers in each data centre. Their number bounds the calls that wait at the
// platform, whatever the number of instances.
inline constexpr size_t kWatchersPerDataCentre = 2;

// The watchers among the members of `data_centre` that are neither leaving nor
// gone: the same at all instances that know the same.
std::vector<const Instance*> Watchers(const MemberTable& table,
                                      std::string_view data_centre);

// Whether the instance that the table belongs to is a watcher.
bool ShouldWatch(const MemberTable& table);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_WATCHER_SET_H_
