// Which instances hold the connections to each searcher.
#ifndef GREENGAGE_COORDINATION_OWNER_SET_H_
#define GREENGAGE_COORDINATION_OWNER_SET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "greengage/coordination/member_table.h"
#include "greengage/state/configuration.h"
#include "greengage/state/endpoint.h"
#include "greengage/state/instance.h"

namespace greengage {

// The owners of every searcher, from one member table and one configuration.
// The same at all instances that know the same. Candidates are the members
// that are neither leaving nor gone, of the searcher's data centre, or of all
// data centres where that has none. An instance owns at most a quarter more
// than its share; a searcher beyond that goes to the next in its order.
//
// Immutable. Compute it anew when the eligible members or the searchers
// change; the cost grows with searchers times members of a data centre.
class OwnerSet {
 public:
  // `owners` per searcher, fewer where there are fewer candidates.
  OwnerSet(MemberTablePtr table,
           const std::map<Endpoint, SearcherConfiguration>& searchers,
           size_t owners);

  // Best first; empty for an unknown searcher or without any candidate. Valid
  // as long as this object.
  const std::vector<const Instance*>& OwnersOf(const Endpoint& searcher) const;

  bool Owns(std::string_view instance, const Endpoint& searcher) const;

  // Searchers that `instance` owns, in no particular order.
  std::vector<Endpoint> OwnedBy(std::string_view instance) const;

 private:
  struct Candidate {
    const Instance* instance = nullptr;
    uint64_t hash = 0;
    size_t owned = 0;
  };

  void Assign(const std::vector<const SearcherConfiguration*>& searchers,
              std::vector<Candidate> candidates,
              size_t owners);

  const MemberTablePtr table_;
  std::unordered_map<Endpoint, std::vector<const Instance*>> owners_;
};

using OwnerSetPtr = std::shared_ptr<const OwnerSet>;

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_OWNER_SET_H_
