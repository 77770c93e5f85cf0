// Says in which data centres a request may be served.
#ifndef GREENGAGE_COORDINATION_PLACEMENT_RULES_H_
#define GREENGAGE_COORDINATION_PLACEMENT_RULES_H_

#include <map>
#include <set>
#include <string>
#include <utility>

#include "greengage/coordination/data_centre_spill.h"
#include "greengage/state/request_terms.h"

namespace greengage {

// Combines the regions that are allowed to a request with the data centres that
// operators have evacuated. The load that it answers is one that must not go to
// the nearest or least busy searchers, also if all others are too few.
//
// A data centre whose region is not known is in no region: restricted requests
// are not served there. Not thread-safe.
class PlacementRules {
 public:
  // `regions` holds the region of each data centre.
  PlacementRules(std::string own_data_centre,
                 std::map<std::string, std::string> regions)
      : own_(std::move(own_data_centre)), regions_(std::move(regions)) {}

  // Returns whether a searcher in `data_centre` may get the request.
  bool AllowsSearcher(const RequestTerms& terms,
                      const std::string& data_centre) const;

  // Returns whether another instance, in `data_centre`, may get the body of the
  // request. Being in the region of this instance does not suffice: callers
  // whose own region has lost its instances come here from elsewhere.
  bool AllowsPeer(const RequestTerms& terms,
                  const std::string& data_centre) const;

  // Returns whether a gatherer in `data_centre` may get the request. Requests
  // without a restriction stay in this data centre.
  bool AllowsGatherer(const RequestTerms& terms,
                      const std::string& data_centre) const;

  // Returns how far a data centre is from this one.
  Locality LocalityOf(const std::string& data_centre) const;

  // Changes whether the searchers of a data centre may get requests. Returns
  // false if that is how it was.
  bool SetEvacuated(const std::string& data_centre, bool evacuated);

  const std::set<std::string>& evacuated() const { return evacuated_; }

 private:
  // Returns an empty text if the region is not known.
  std::string RegionOf(const std::string& data_centre) const;

  const std::string own_;
  const std::map<std::string, std::string> regions_;
  std::set<std::string> evacuated_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_PLACEMENT_RULES_H_
