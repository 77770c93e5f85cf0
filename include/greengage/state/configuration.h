// The operators' configuration of one deployment, parsed and validated.
#ifndef GREENGAGE_STATE_CONFIGURATION_H_
#define GREENGAGE_STATE_CONFIGURATION_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "greengage/state/endpoint.h"
#include "greengage/state/key_range.h"
#include "greengage/state/rank.h"

namespace greengage {

// One rank. `name` is the one that callers use. `floor_percent` is the minimum
// share of each searcher's capacity, in percent, that the rank keeps while more
// urgent work overloads the searcher.
struct RankConfiguration {
  std::string name;
  uint32_t floor_percent = 0;
  std::chrono::milliseconds target{250};
};

// One upstream that answers sub-requests.
struct SearcherConfiguration {
  Endpoint endpoint;
  std::string data_centre;
  uint32_t slots = 2;
  uint32_t connections = 25;
};

// One shard: a key range and the searchers that each hold a replica of it.
struct ShardConfiguration {
  std::string name;
  KeyRange range;
  std::vector<Endpoint> replicas;
};

// One service: its shards tile [0, key_space) without gap or overlap.
struct ServiceConfiguration {
  std::string name;
  uint64_t key_space = 0;
  std::chrono::milliseconds deadline{250};
  std::vector<ShardConfiguration> shards;  // Ordered by range.
};

// Limits that every instance enforces.
struct LimitsConfiguration {
  uint32_t queue_per_searcher = 256;
  uint32_t hedge_percent = 2;
  uint32_t retry_percent = 10;
  uint32_t owners_per_searcher = 1;
  std::chrono::seconds claim_retention{3600};
  std::chrono::seconds clock_skew{30};
};

// A complete configuration. Immutable once active; a query uses the one that
// was active at its admission until it ends.
struct Configuration {
  uint64_t version = 0;  // Version of the platform object.
  std::string deployment;
  std::string log_level = "info";
  std::array<RankConfiguration, kRankCount> ranks;
  LimitsConfiguration limits;
  std::map<std::string, ServiceConfiguration> services;
  std::map<Endpoint, SearcherConfiguration> searchers;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

}  // namespace greengage

#endif  // GREENGAGE_STATE_CONFIGURATION_H_
