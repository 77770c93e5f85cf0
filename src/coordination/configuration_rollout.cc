#include "greengage/coordination/configuration_rollout.h"

#include <algorithm>

namespace greengage {

ConfigurationRollout::ConfigurationRollout(uint64_t version,
                                           const std::vector<Endpoint>& known)
    : version_(version) {
  for (const Endpoint& http : known) {
    entries_[http].http = http;
  }
}

void ConfigurationRollout::AddPlatformInstances(
    const std::vector<Endpoint>& endpoints) {
  for (const Endpoint& http : endpoints) {
    const auto [entry, inserted] = entries_.try_emplace(http);
    if (inserted) {
      entry->second.http = http;
      entry->second.only_in_platform_list = true;
    }
  }
}

std::vector<Endpoint> ConfigurationRollout::EndpointsToPoll() const {
  std::vector<Endpoint> endpoints;
  bool polls_member_list = false;
  for (const auto& [http, entry] : entries_) {
    const bool has_version = entry.reachable && HasVersion(entry);
    if (!has_version || !polls_member_list) {
      endpoints.push_back(http);
    }
    polls_member_list = polls_member_list || has_version;
  }
  return endpoints;
}

void ConfigurationRollout::OnStatus(const Endpoint& http,
                                    const InstanceStatus& status) {
  RolloutEntry& entry = entries_[http];
  entry.http = http;
  entry.id = status.id;
  entry.data_centre = status.data_centre;
  entry.state = status.state;
  entry.reachable = true;
  entry.only_in_platform_list = false;
  entry.configuration_version =
      std::max(entry.configuration_version, status.configuration_version);
  for (const Instance& member : status.members) {
    OnMember(member);
  }
}

void ConfigurationRollout::OnMember(const Instance& member) {
  const auto [entry, inserted] = entries_.try_emplace(member.http);
  if (inserted) {
    entry->second.http = member.http;
  }
  if (entry->second.id.empty()) {
    entry->second.id = member.id;
    entry->second.data_centre = member.data_centre;
  }
  entry->second.only_in_platform_list = false;
  const auto [reported, first] =
      reported_.try_emplace(member.http, member.state);
  if (!first) {
    reported->second = std::min(reported->second, member.state);
  }
}

void ConfigurationRollout::OnUnreachable(const Endpoint& http) {
  entries_[http].http = http;
  entries_[http].reachable = false;
}

// The state reported by an instance itself takes precedence. For an unreachable
// instance, the least severe state reported by other members applies.
void ConfigurationRollout::EndRound() {
  for (auto& [http, entry] : entries_) {
    const auto reported = reported_.find(http);
    if (!entry.reachable && reported != reported_.end()) {
      entry.state = reported->second;
    }
  }
  reported_.clear();
}

uint64_t ConfigurationRollout::HighestVersion() const {
  uint64_t highest = 0;
  for (const auto& [http, entry] : entries_) {
    highest = std::max(highest, entry.configuration_version);
  }
  return highest;
}

bool ConfigurationRollout::complete() const {
  return Pending().empty() && !UpToDate().empty();
}

bool ConfigurationRollout::IsDeparted(const RolloutEntry& entry) const {
  return entry.only_in_platform_list ||
         entry.state == InstanceState::kLeaving ||
         entry.state == InstanceState::kGone;
}

bool ConfigurationRollout::HasVersion(const RolloutEntry& entry) const {
  return entry.configuration_version >= version_;
}

std::vector<RolloutEntry> ConfigurationRollout::UpToDate() const {
  std::vector<RolloutEntry> found;
  for (const auto& [http, entry] : entries_) {
    if (HasVersion(entry)) {
      found.push_back(entry);
    }
  }
  return found;
}

std::vector<RolloutEntry> ConfigurationRollout::Pending() const {
  std::vector<RolloutEntry> found;
  for (const auto& [http, entry] : entries_) {
    if (!HasVersion(entry) && !IsDeparted(entry)) {
      found.push_back(entry);
    }
  }
  return found;
}

std::vector<Endpoint> ConfigurationRollout::TrackedEndpoints() const {
  std::vector<Endpoint> endpoints;
  for (const auto& [http, entry] : entries_) {
    if (entry.reachable || !IsDeparted(entry)) {
      endpoints.push_back(http);
    }
  }
  return endpoints;
}

std::vector<RolloutEntry> ConfigurationRollout::Departed() const {
  std::vector<RolloutEntry> found;
  for (const auto& [http, entry] : entries_) {
    if (!HasVersion(entry) && IsDeparted(entry)) {
      found.push_back(entry);
    }
  }
  return found;
}

}  // namespace greengage
