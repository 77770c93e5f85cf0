#include "greengage/coordination/member_map.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace greengage {

namespace {

// The upper 6 bits of a hash select the bucket.
constexpr int kBucketShift = 58;
static_assert(uint64_t{1} << (64 - kBucketShift) == kDigestBuckets);

int Precedence(InstanceState state) {
  switch (state) {
    case InstanceState::kLive:
    case InstanceState::kSuspect:
      return 0;
    case InstanceState::kLeaving:
      return 1;
    case InstanceState::kGone:
      return 2;
  }
  return 0;
}

uint32_t RecordHash(const Instance& instance) {
  if (instance.state == InstanceState::kGone) {
    return 0;
  }
  const uint64_t seed = instance.incarnation * 2 + Precedence(instance.state);
  return static_cast<uint32_t>(
      XXH3_64bits_withSeed(instance.id.data(), instance.id.size(), seed));
}

}  // namespace

bool Supersedes(const Instance& received, const Instance& known) {
  if (received.incarnation != known.incarnation) {
    return received.incarnation > known.incarnation;
  }
  return Precedence(received.state) > Precedence(known.state);
}

MemberMap::MemberMap(std::string self_id) : self_id_(std::move(self_id)) {}

MemberMap::PositionView MemberMap::PositionOf(std::string_view id) {
  return {.hash = XXH3_64bits(id.data(), id.size()), .id = id};
}

size_t MemberMap::BucketOf(uint64_t hash) {
  return hash >> kBucketShift;
}

const Instance* MemberMap::Find(std::string_view id) const {
  const auto found = entries_.find(PositionOf(id));
  return found == entries_.end() ? nullptr : &found->second.instance;
}

void MemberMap::Put(const Instance& instance, TimePoint now) {
  const PositionView view = PositionOf(instance.id);
  const Position position{.hash = view.hash, .id = instance.id};
  auto [entry, added] = entries_.try_emplace(position);
  if (!added) {
    RemoveFromDigest(position, entry->second.instance);
  }
  entry->second = {.instance = instance, .gone_since = now};
  AddToDigest(position, instance);
  lists_valid_ = false;
}

void MemberMap::SetState(std::string_view id,
                         InstanceState state,
                         TimePoint now) {
  const auto found = entries_.find(PositionOf(id));
  if (found == entries_.end()) {
    return;
  }
  RemoveFromDigest(found->first, found->second.instance);
  found->second.instance.state = state;
  found->second.gone_since = now;
  AddToDigest(found->first, found->second.instance);
  lists_valid_ = false;
}

void MemberMap::RemoveGone(TimePoint before) {
  std::erase_if(entries_, [&](const auto& item) {
    return item.second.instance.state == InstanceState::kGone &&
           item.second.gone_since <= before;
  });
  lists_valid_ = false;
}

std::vector<const Instance*> MemberMap::Successors(
    size_t count,
    const Predicate& eligible) const {
  std::vector<const Instance*> successors;
  if (entries_.empty()) {
    return successors;
  }
  auto entry = entries_.upper_bound(PositionOf(self_id_));
  for (size_t seen = 0; seen < entries_.size(); ++seen, ++entry) {
    if (entry == entries_.end()) {
      entry = entries_.begin();
    }
    if (successors.size() == count) {
      break;
    }
    const Instance& instance = entry->second.instance;
    if (instance.id != self_id_ && eligible(instance)) {
      successors.push_back(&instance);
    }
  }
  return successors;
}

const std::vector<const Instance*>& MemberMap::present() const {
  RefreshLists();
  return present_;
}

const std::vector<const Instance*>& MemberMap::gone() const {
  RefreshLists();
  return gone_;
}

Digest MemberMap::digest() const {
  return {digest_.begin(), digest_.end()};
}

std::vector<size_t> MemberMap::DifferingBuckets(const Digest& other) const {
  std::vector<size_t> differing;
  if (other.size() != kDigestBuckets) {
    return differing;
  }
  for (size_t bucket = 0; bucket < kDigestBuckets; ++bucket) {
    if (digest_[bucket] != other[bucket]) {
      differing.push_back(bucket);
    }
  }
  return differing;
}

std::vector<const Instance*> MemberMap::Bucket(size_t bucket) const {
  std::vector<const Instance*> members;
  const PositionView start{.hash = uint64_t{bucket} << kBucketShift, .id = {}};
  for (auto entry = entries_.lower_bound(start);
       entry != entries_.end() && BucketOf(entry->first.hash) == bucket;
       ++entry) {
    members.push_back(&entry->second.instance);
  }
  return members;
}

MemberTablePtr MemberMap::Table() const {
  auto table = std::make_shared<MemberTable>();
  table->self_id = self_id_;
  table->members.reserve(entries_.size());
  for (const auto& [position, entry] : entries_) {
    table->members.push_back(entry.instance);
  }
  std::sort(table->members.begin(), table->members.end(),
            [](const Instance& a, const Instance& b) { return a.id < b.id; });
  return table;
}

void MemberMap::RemoveFromDigest(const Position& position,
                                 const Instance& instance) {
  digest_[BucketOf(position.hash)] -= RecordHash(instance);
}

void MemberMap::AddToDigest(const Position& position,
                            const Instance& instance) {
  digest_[BucketOf(position.hash)] += RecordHash(instance);
}

void MemberMap::RefreshLists() const {
  if (lists_valid_) {
    return;
  }
  lists_valid_ = true;
  present_.clear();
  gone_.clear();
  for (const auto& [position, entry] : entries_) {
    if (entry.instance.state == InstanceState::kGone) {
      gone_.push_back(&entry.instance);
    } else if (entry.instance.id != self_id_) {
      present_.push_back(&entry.instance);
    }
  }
}

}  // namespace greengage
