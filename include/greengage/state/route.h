// Routes, which determine how opaque requests are handled.
#ifndef GREENGAGE_STATE_ROUTE_H_
#define GREENGAGE_STATE_ROUTE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "greengage/state/rank.h"

namespace greengage {

enum class RequestKind : uint8_t {
  kIdempotent,     // May run more than once.
  kNonIdempotent,  // Runs at most once.
};

struct WeightedService {
  std::string service;
  uint32_t weight = 1;
};

// Scatter-gather: the request goes to one searcher of every shard.
struct GatherRule {
  std::vector<std::string> shards;  // Names of services.
  size_t top_records = 0;           // Maximum number of records in the answer.
  double min_coverage = 1;          // Minimum share of the shards, 0 to 1.
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // Begins and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  std::chrono::milliseconds timeout{};         // Maximum time to the answer.
  std::chrono::milliseconds target_latency{};  // Latency objective.
  uint32_t priority = 0;                       // 0 is the most urgent.
  uint32_t max_attempts = 1;  // Maximum number of attempts per service.
  // One service, or a weighted split over several. Empty for a gather.
  std::vector<WeightedService> services;
  std::optional<GatherRule> gather;
  bool is_public = false;  // Callers need no key.
  // Regions whose searchers may serve the requests. Empty means any.
  std::vector<std::string> allowed_regions;
};

// Priorities beyond the last rank map to the background rank.
inline Rank RankOfPriority(uint32_t priority) {
  return static_cast<Rank>(std::min<uint32_t>(priority, kRankCount - 1));
}

// Returns the rank of a route's requests.
inline Rank RankOf(const Route& route) {
  return RankOfPriority(route.priority);
}

// Limits on callers' requests and idle connections. A limit that is not set
// comes from the settings of each instance.
struct CallerLimits {
  std::optional<size_t> header_bytes;
  std::optional<size_t> body_bytes;
  std::optional<std::chrono::milliseconds> idle_timeout;
};

struct RoutedService {
  std::string name;
  uint32_t max_connections = 1;  // Per searcher, over all instances.
  // Target of an inexpensive GET request that searchers answer.
  std::string health_path = "/";
  // How long a searcher stays cold, and the requests per second that it takes
  // meanwhile from all instances together. Zero means no limit.
  std::chrono::milliseconds warm_up_time{};
  double warm_up_rate = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_ROUTE_H_
