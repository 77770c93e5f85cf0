#include "greengage/state/request_terms.h"

#include <algorithm>

namespace greengage {

bool RequestTerms::AllowsRegion(const std::string& region) const {
  return !is_restricted ||
         std::find(allowed_regions.begin(), allowed_regions.end(), region) !=
             allowed_regions.end();
}

RequestTerms TermsOf(const Route& route, const Organisation* organisation) {
  RequestTerms terms;
  terms.rank = RankOf(route);
  terms.allowed_regions = route.allowed_regions;
  terms.is_restricted = !route.allowed_regions.empty();
  if (organisation == nullptr) {
    return terms;
  }
  terms.organisation = organisation->name;
  if (organisation->priority) {
    terms.rank = RankOfPriority(*organisation->priority);
  }
  if (organisation->allowed_regions.empty()) {
    return terms;
  }
  RequestTerms of_organisation;
  of_organisation.allowed_regions = organisation->allowed_regions;
  of_organisation.is_restricted = true;
  if (terms.is_restricted) {
    std::erase_if(terms.allowed_regions, [&](const std::string& region) {
      return !of_organisation.AllowsRegion(region);
    });
  } else {
    terms.allowed_regions = std::move(of_organisation.allowed_regions);
    terms.is_restricted = true;
  }
  return terms;
}

}  // namespace greengage
