#include "greengage/coordination/member_table.h"

#include <algorithm>

namespace greengage {

const Instance* MemberTable::Find(std::string_view id) const {
  const auto found =
      std::lower_bound(members.begin(), members.end(), id,
                       [](const Instance& member, std::string_view key) {
                         return member.id < key;
                       });
  return found != members.end() && found->id == id ? &*found : nullptr;
}

bool IsEligible(const Instance& instance) {
  return instance.state == InstanceState::kLive ||
         instance.state == InstanceState::kSuspect;
}

}  // namespace greengage
