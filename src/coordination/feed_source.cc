#include "greengage/coordination/feed_source.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "greengage/coordination/rendezvous.h"

namespace greengage {
namespace {

constexpr std::string_view kRelayKey = "feed-relay";

}  // namespace

std::vector<InstanceRecord> RankRelays(
    const std::vector<InstanceRecord>& instances,
    const std::string& data_centre) {
  const uint64_t key = RendezvousHash(kRelayKey);
  std::vector<std::pair<uint64_t, InstanceRecord>> weighted;
  for (const InstanceRecord& instance : instances) {
    if (instance.data_centre == data_centre) {
      weighted.emplace_back(RendezvousWeight(key, RendezvousHash(instance.id)),
                            instance);
    }
  }
  std::sort(weighted.begin(), weighted.end(), [](const auto& a, const auto& b) {
    return a.second.capacity != b.second.capacity
               ? a.second.capacity > b.second.capacity
               : a.first > b.first;
  });
  std::vector<InstanceRecord> ranked;
  ranked.reserve(weighted.size());
  for (auto& [weight, instance] : weighted) {
    ranked.push_back(std::move(instance));
  }
  return ranked;
}

void FeedSource::SetInstances(const std::vector<InstanceRecord>& instances) {
  const auto is_self = [this](const InstanceRecord& instance) {
    return instance.id == self_.id;
  };
  std::vector<InstanceRecord> all = instances;
  if (std::none_of(all.begin(), all.end(), is_self)) {
    all.push_back(self_);
  }
  ranked_ = RankRelays(all, self_.data_centre);
  const auto self = std::find_if(ranked_.begin(), ranked_.end(), is_self);
  const auto rank = static_cast<size_t>(self - ranked_.begin());
  is_relay_ = rank < kFeedRelaysPerDataCentre;
  has_others_ = ranked_.size() > kFeedRelaysPerDataCentre;
}

const InstanceRecord* FeedSource::Choose(TimePoint now, TimePoint known_at) {
  const bool read_store = std::exchange(reads_store_, true);
  if (is_relay_ || now < takeover_until_) {
    return nullptr;
  }
  // The age of what this instance read itself says nothing about its peers.
  if (!read_store && now - known_at >= options_.max_age) {
    takeover_until_ = now + options_.takeover_time;
    return nullptr;
  }
  for (const InstanceRecord& instance : ranked_) {
    if (instance.id == self_.id) {
      return nullptr;
    }
    if (!backoff_.IsSkipped(now, instance.id)) {
      reads_store_ = false;
      return &instance;
    }
  }
  return nullptr;
}

}  // namespace greengage
