// A view of all members at one moment, shared with readers on any thread.
#ifndef GREENGAGE_COORDINATION_MEMBER_TABLE_H_
#define GREENGAGE_COORDINATION_MEMBER_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/state/instance.h"

namespace greengage {

// All members known to `self_id`, itself included, ordered by id.
struct MemberTable {
  std::string self_id;
  std::vector<Instance> members;

  // Null if there is no member `id`.
  const Instance* Find(std::string_view id) const;
};

using MemberTablePtr = std::shared_ptr<const MemberTable>;

// Whether work may be given to `instance` for the long run: live or merely
// suspected, neither leaving nor gone.
bool IsEligible(const Instance& instance);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_MEMBER_TABLE_H_
