// One instance's view of all members: a hash ring with a digest.
#ifndef GREENGAGE_COORDINATION_MEMBER_MAP_H_
#define GREENGAGE_COORDINATION_MEMBER_MAP_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "greengage/coordination/datagram.h"
#include "greengage/coordination/member_table.h"
#include "greengage/state/instance.h"
#include "greengage/state/time.h"

namespace greengage {

// Number of buckets of the digest. A bucket covers one arc of the ring.
inline constexpr size_t kDigestBuckets = 64;

// Returns true if `received` replaces `known`: a higher incarnation wins;
// within the same incarnation, leaving replaces live and gone replaces both.
// Suspicion is local to each instance, so a suspected member counts as live.
bool Supersedes(const Instance& received, const Instance& known);

// Not thread-safe. Returned pointers stay valid until the member is removed.
class MemberMap {
 public:
  using Predicate = std::function<bool(const Instance&)>;

  explicit MemberMap(std::string self_id);

  // Returns null if there is no member `id`.
  const Instance* Find(std::string_view id) const;

  // Adds the instance or replaces the member with the same id.
  void Put(const Instance& instance, TimePoint now);

  // Changes only the state. Does nothing if there is no member `id`.
  void SetState(std::string_view id, InstanceState state, TimePoint now);

  // Removes the members that have been gone since `before` or earlier.
  void RemoveGone(TimePoint before);

  // Returns the first `count` other members after this instance on the ring
  // that satisfy `eligible`.
  std::vector<const Instance*> Successors(size_t count,
                                          const Predicate& eligible) const;

  // Returns all other members that are not gone, in unspecified order.
  const std::vector<const Instance*>& present() const;

  // Returns all members that are gone, in unspecified order.
  const std::vector<const Instance*>& gone() const;

  // Returns hashes of the id, incarnation and state of the members that are not
  // gone.
  Digest digest() const;

  // Returns the buckets whose hash in `other` differs. `other` must have
  // kDigestBuckets hashes; otherwise the result is empty.
  std::vector<size_t> DifferingBuckets(const Digest& other) const;

  // Returns all members of a bucket, including those that are gone.
  std::vector<const Instance*> Bucket(size_t bucket) const;

  MemberTablePtr Table() const;

 private:
  struct Position {
    uint64_t hash = 0;
    std::string id;
  };
  struct PositionView {
    uint64_t hash = 0;
    std::string_view id;
  };
  struct Order {
    using is_transparent = void;
    static auto Key(const Position& p) {
      const std::string_view id = p.id;
      return std::tuple(p.hash, id);
    }
    static auto Key(const PositionView& p) { return std::tuple(p.hash, p.id); }
    template <typename A, typename B>
    bool operator()(const A& a, const B& b) const {
      return Key(a) < Key(b);
    }
  };
  struct Entry {
    Instance instance;
    TimePoint gone_since;
  };

  static PositionView PositionOf(std::string_view id);
  static size_t BucketOf(uint64_t hash);

  void RemoveFromDigest(const Position& position, const Instance& instance);
  void AddToDigest(const Position& position, const Instance& instance);
  void RefreshLists() const;

  const std::string self_id_;
  std::map<Position, Entry, Order> entries_;
  std::array<uint32_t, kDigestBuckets> digest_{};
  // Rebuilt on demand after a change.
  mutable bool lists_valid_ = false;
  mutable std::vector<const Instance*> present_;
  mutable std::vector<const Instance*> gone_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_MEMBER_MAP_H_
