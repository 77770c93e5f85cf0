#include "greengage/coordination/placement_rules.h"

namespace greengage {

std::string PlacementRules::RegionOf(const std::string& data_centre) const {
  const auto found = regions_.find(data_centre);
  return found == regions_.end() ? std::string() : found->second;
}

bool PlacementRules::AllowsSearcher(const RequestTerms& terms,
                                    const std::string& data_centre) const {
  return !evacuated_.contains(data_centre) &&
         terms.AllowsRegion(RegionOf(data_centre));
}

bool PlacementRules::AllowsPeer(const RequestTerms& terms,
                                const std::string& data_centre) const {
  return terms.AllowsRegion(RegionOf(data_centre));
}

bool PlacementRules::AllowsGatherer(const RequestTerms& terms,
                                    const std::string& data_centre) const {
  return terms.is_restricted ? AllowsPeer(terms, data_centre)
                             : data_centre == own_;
}

Locality PlacementRules::LocalityOf(const std::string& data_centre) const {
  if (data_centre == own_) {
    return Locality::kDataCentre;
  }
  const std::string own_region = RegionOf(own_);
  return !own_region.empty() && RegionOf(data_centre) == own_region
             ? Locality::kRegion
             : Locality::kElsewhere;
}

bool PlacementRules::SetEvacuated(const std::string& data_centre,
                                  bool evacuated) {
  return evacuated ? evacuated_.insert(data_centre).second
                   : evacuated_.erase(data_centre) > 0;
}

}  // namespace greengage
