#include "greengage/coordination/watcher_set.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "greengage/coordination/rendezvous.h"

namespace greengage {

namespace {

constexpr std::string_view kWatcherKey = "configuration-watcher";

}  // namespace

std::vector<const Instance*> Watchers(const MemberTable& table,
                                      std::string_view data_centre) {
  const uint64_t key = RendezvousHash(kWatcherKey);
  std::vector<std::pair<uint64_t, const Instance*>> order;
  for (const Instance& member : table.members) {
    if (member.data_centre == data_centre && IsEligible(member)) {
      order.emplace_back(RendezvousWeight(key, RendezvousHash(member.id)),
                         &member);
    }
  }
  std::sort(order.begin(), order.end(), std::greater<>());
  order.resize(std::min(order.size(), kWatchersPerDataCentre));
  std::vector<const Instance*> watchers;
  watchers.reserve(order.size());
  for (const auto& [weight, member] : order) {
    watchers.push_back(member);
  }
  return watchers;
}

bool ShouldWatch(const MemberTable& table) {
  const Instance* self = table.Find(table.self_id);
  if (self == nullptr) {
    return false;
  }
  const std::vector<const Instance*> watchers =
      Watchers(table, self->data_centre);
  return std::find(watchers.begin(), watchers.end(), self) != watchers.end();
}

}  // namespace greengage
