// Follows a configuration version until every instance has it in force.
#ifndef GREENGAGE_COORDINATION_CONFIGURATION_ROLLOUT_H_
#define GREENGAGE_COORDINATION_CONFIGURATION_ROLLOUT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "greengage/state/endpoint.h"
#include "greengage/state/instance_status.h"

namespace greengage {

// One instance as far as it is known.
struct RolloutEntry {
  Endpoint http;
  std::string id;  // Empty until some instance has named it.
  std::string data_centre;
  InstanceState state = InstanceState::kLive;
  bool reachable = false;
  // Only the platform's lagging list names it; not waited for until it
  // answers or another instance knows of it.
  bool only_in_platform_list = false;
  uint64_t configuration_version = 0;
};

// Instances are found from the end points given and from what those that
// answer say of others. Used in rounds: ask all of EndpointsToPoll(), report
// each answer, call EndRound().
class ConfigurationRollout {
 public:
  ConfigurationRollout(uint64_t version, const std::vector<Endpoint>& known);

  // Adds what the platform's lagging list of instances names.
  void AddPlatformInstances(const std::vector<Endpoint>& endpoints);

  // Follows another version from here on.
  void SetVersion(uint64_t version) { version_ = version; }

  // Instances that are not known to have the version in force, and one that
  // has, whose list of members keeps up with arrivals and departures.
  std::vector<Endpoint> EndpointsToPoll() const;

  void OnStatus(const Endpoint& http, const InstanceStatus& status);
  void OnUnreachable(const Endpoint& http);
  void EndRound();

  // The highest version that an instance has in force.
  uint64_t HighestVersion() const;

  // Whether at least one instance answered, and none lacks the version that is
  // live or suspected. Leaving and gone instances are not waited for.
  bool complete() const;

  std::vector<RolloutEntry> UpToDate() const;
  // Instances that are waited for: behind, or not reachable.
  std::vector<RolloutEntry> Pending() const;
  // All that are waited for or answer, also with the version in force.
  std::vector<Endpoint> TrackedEndpoints() const;

  // Instances that nobody waits for.
  std::vector<RolloutEntry> Departed() const;

 private:
  bool IsDeparted(const RolloutEntry& entry) const;
  bool HasVersion(const RolloutEntry& entry) const;
  void OnMember(const Instance& member);

  uint64_t version_;
  std::map<Endpoint, RolloutEntry> entries_;
  // Of the present round: what members that answered say of others.
  std::map<Endpoint, InstanceState> reported_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_CONFIGURATION_ROLLOUT_H_
