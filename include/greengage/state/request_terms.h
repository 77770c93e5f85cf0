// The terms under which a request is served, from its route and organisation.
#ifndef GREENGAGE_STATE_REQUEST_TERMS_H_
#define GREENGAGE_STATE_REQUEST_TERMS_H_

#include <string>
#include <vector>

#include "greengage/state/organisation.h"
#include "greengage/state/rank.h"
#include "greengage/state/route.h"

namespace greengage {

struct RequestTerms {
  std::string organisation;  // Empty if the request belongs to none.
  Rank rank = Rank::kUrgent;
  // Regions whose searchers may serve the request, if it is restricted. Empty
  // and restricted: no region may.
  std::vector<std::string> allowed_regions;
  bool is_restricted = false;

  bool AllowsRegion(const std::string& region) const;
};

// `organisation` may be null. Its priority goes before that of the route; of
// two lists of regions, both bind.
RequestTerms TermsOf(const Route& route, const Organisation* organisation);

}  // namespace greengage

#endif  // GREENGAGE_STATE_REQUEST_TERMS_H_
