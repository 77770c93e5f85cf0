// Assignment of searchers to the instances that hold connections to them.
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

// The owners of each searcher, computed by rendezvous hashing from a member
// table and a configuration. The result is equal on all instances with equal
// inputs. Candidates are the eligible members of the searcher's data centre, or
// of all data centres if that has none. An instance owns at most 25% more than
// its fair share; a searcher beyond that is assigned to its next candidate.
//
// Immutable. Construct a new set when the eligible members or the searchers
// change; the cost is proportional to searchers times members of a data centre.
class OwnerSet {
 public:
  // Assigns `owners` instances to each searcher, or fewer if there are fewer
  // candidates.
  OwnerSet(MemberTablePtr table,
           const std::map<Endpoint, SearcherConfiguration>& searchers,
           size_t owners);

  // Returns the owners by descending weight; empty if the searcher is unknown
  // or has no candidate. The result is valid as long as this object.
  const std::vector<const Instance*>& OwnersOf(const Endpoint& searcher) const;

  bool Owns(std::string_view instance, const Endpoint& searcher) const;

  // Returns the searchers owned by `instance`, in unspecified order.
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
