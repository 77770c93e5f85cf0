#include "greengage/coordination/gatherers.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "greengage/coordination/feed_source.h"
#include "greengage/coordination/instance_share.h"

namespace greengage {
namespace {

// Each instance gathers its own queries if it may open this many connections to
// a searcher.
constexpr double kMinOwnConnections = 2;

// Connections to a searcher that each gatherer needs, so that parts of several
// queries do not wait for each other.
constexpr double kConnectionsPerGatherer = 4;

// A gatherer has at least this share of the capacity of the largest instance of
// its data centre.
constexpr double kMinRelativeCapacity = 0.5;

}  // namespace

GathererSet SelectGatherers(const std::vector<InstanceRecord>& instances,
                            const std::string& data_centre,
                            double max_connections) {
  GathererSet set;
  if (instances.empty() ||
      InstanceShare(max_connections, instances.size()) >= kMinOwnConnections) {
    return set;
  }
  std::set<std::string> data_centres;
  for (const InstanceRecord& instance : instances) {
    data_centres.insert(instance.data_centre);
  }
  const auto per_data_centre = static_cast<size_t>(
      std::max(1.0, InstanceShare(max_connections, data_centres.size()) /
                        kConnectionsPerGatherer));
  for (const std::string& name : data_centres) {
    std::vector<InstanceRecord> ranked = RankRelays(instances, name);
    const double min_capacity = ranked.front().capacity * kMinRelativeCapacity;
    const auto end =
        std::find_if(ranked.begin(), ranked.end(),
                     [min_capacity](const InstanceRecord& instance) {
                       return instance.capacity < min_capacity;
                     });
    ranked.erase(end, ranked.end());
    ranked.resize(std::min(ranked.size(), per_data_centre));
    for (const InstanceRecord& gatherer : ranked) {
      set.ids.push_back(gatherer.id);
    }
    if (name == data_centre) {
      set.local = std::move(ranked);
    } else {
      std::move(ranked.begin(), ranked.end(), std::back_inserter(set.remote));
    }
  }
  std::sort(set.ids.begin(), set.ids.end());
  return set;
}

void GathererChooser::SetGatherers(std::vector<InstanceRecord> gatherers,
                                   std::vector<InstanceRecord> others) {
  others_ = std::move(others);
  gatherers_ = std::move(gatherers);
  gathers_itself_ =
      gatherers_.empty() || std::any_of(gatherers_.begin(), gatherers_.end(),
                                        [this](const InstanceRecord& gatherer) {
                                          return gatherer.id == self_id_;
                                        });
}

std::vector<const InstanceRecord*> GathererChooser::Usable(
    TimePoint now,
    const std::vector<InstanceRecord>& among,
    const std::vector<std::string>& tried,
    const Filter& filter) const {
  std::vector<const InstanceRecord*> usable;
  for (const InstanceRecord& gatherer : among) {
    if (!backoff_.IsSkipped(now, gatherer.id) &&
        (!filter || filter(gatherer)) &&
        std::find(tried.begin(), tried.end(), gatherer.id) == tried.end()) {
      usable.push_back(&gatherer);
    }
  }
  return usable;
}

const InstanceRecord* GathererChooser::Choose(
    TimePoint now,
    const std::vector<std::string>& tried,
    std::minstd_rand& random,
    const Filter& filter) const {
  const bool prefers_others = tried.size() >= kMaxGatherersTried;
  std::vector<const InstanceRecord*> usable =
      Usable(now, prefers_others ? others_ : gatherers_, tried, filter);
  if (usable.empty()) {
    usable = Usable(now, prefers_others ? gatherers_ : others_, tried, filter);
  }
  if (usable.empty()) {
    return nullptr;
  }
  std::shuffle(usable.begin(), usable.end(), random);
  const InstanceRecord* const first = usable.front();
  const InstanceRecord* const second = usable[usable.size() > 1 ? 1 : 0];
  return InFlight(second->id) < InFlight(first->id) ? second : first;
}

void GathererChooser::OnAnswered(const std::string& gatherer) {
  EndCall(gatherer);
  backoff_.OnAnswered(gatherer);
}

void GathererChooser::OnFailed(TimePoint now,
                               const std::string& gatherer,
                               PeerFailure failure) {
  EndCall(gatherer);
  backoff_.OnFailed(now, gatherer, failure);
}

void GathererChooser::EndCall(const std::string& gatherer) {
  const auto found = in_flight_.find(gatherer);
  if (found != in_flight_.end() && --found->second == 0) {
    in_flight_.erase(found);
  }
}

size_t GathererChooser::InFlight(const std::string& gatherer) const {
  const auto found = in_flight_.find(gatherer);
  return found == in_flight_.end() ? 0 : found->second;
}

}  // namespace greengage
