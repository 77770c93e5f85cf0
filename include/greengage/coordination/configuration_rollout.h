// Tracks a configuration version until it is active on every instance.
#ifndef GREENGAGE_COORDINATION_CONFIGURATION_ROLLOUT_H_
#define GREENGAGE_COORDINATION_CONFIGURATION_ROLLOUT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "greengage/state/endpoint.h"
#include "greengage/state/instance_status.h"

namespace greengage {

// The known state of one instance.
struct RolloutEntry {
  Endpoint http;
  std::string id;  // Empty until an instance has reported it.
  std::string data_centre;
  InstanceState state = InstanceState::kLive;
  bool reachable = false;
  // Known only from the platform's instance list, which may be stale. The
  // rollout does not wait for the instance until it responds or another
  // instance reports it.
  bool only_in_platform_list = false;
  uint64_t configuration_version = 0;  // Active on the instance.
};

// Discovers instances from the given end points and from the member lists of
// the instances that respond. Runs in rounds: query all of EndpointsToPoll(),
// report each result with OnStatus() or OnUnreachable(), then call EndRound().
// Not thread-safe.
class ConfigurationRollout {
 public:
  ConfigurationRollout(uint64_t version, const std::vector<Endpoint>& known);

  // Adds instances from the platform's instance list, which may be stale.
  void AddPlatformInstances(const std::vector<Endpoint>& endpoints);

  // Tracks another version from now on.
  void SetVersion(uint64_t version) { version_ = version; }

  // Returns the instances on which the version is not known to be active, and
  // one on which it is. The latter is polled for its member list, which reports
  // instances that join or leave.
  std::vector<Endpoint> EndpointsToPoll() const;

  void OnStatus(const Endpoint& http, const InstanceStatus& status);
  void OnUnreachable(const Endpoint& http);
  void EndRound();

  // Returns the highest version active on any instance.
  uint64_t HighestVersion() const;

  // Returns true if the version is active on at least one instance and on all
  // live and suspected instances. Leaving and gone instances are ignored.
  bool complete() const;

  // Returns the instances on which the version is active.
  std::vector<RolloutEntry> UpToDate() const;
  // Returns the live and suspected instances on which the version is not
  // active, or not known to be.
  std::vector<RolloutEntry> Pending() const;
  // Returns the instances that are reachable, live or suspected, whatever their
  // version.
  std::vector<Endpoint> TrackedEndpoints() const;

  // Returns the instances without the version that the rollout does not wait
  // for.
  std::vector<RolloutEntry> Departed() const;

 private:
  bool IsDeparted(const RolloutEntry& entry) const;
  bool HasVersion(const RolloutEntry& entry) const;
  void OnMember(const Instance& member);

  uint64_t version_;
  std::map<Endpoint, RolloutEntry> entries_;
  // States of instances as reported by others in the current round.
  std::map<Endpoint, InstanceState> reported_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_CONFIGURATION_ROLLOUT_H_
