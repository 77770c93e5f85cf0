// Immutable snapshot of all members, shared between threads.
#ifndef GREENGAGE_COORDINATION_MEMBER_TABLE_H_
#define GREENGAGE_COORDINATION_MEMBER_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/state/instance.h"

namespace greengage {

// All members known to the instance `self_id`, including itself, ordered by id.
struct MemberTable {
  std::string self_id;
  std::vector<Instance> members;

  // Returns null if there is no member `id`.
  const Instance* Find(std::string_view id) const;
};

using MemberTablePtr = std::shared_ptr<const MemberTable>;

// Returns true if long-term work may be assigned to `instance`: it is live or
// suspected, neither leaving nor gone.
bool IsEligible(const Instance& instance);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_MEMBER_TABLE_H_
