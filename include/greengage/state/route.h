// Routes: what becomes of an opaque request.
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

// A request that goes to one searcher of every shard.
struct GatherRule {
  std::vector<std::string> shards;  // Names of services.
  size_t top_records = 0;           // Greatest records that the answer holds.
  double min_coverage = 1;          // Least share of the shards, 0 to 1.
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // Begins and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  std::chrono::milliseconds timeout{};         // Longest wait for an answer.
  std::chrono::milliseconds target_latency{};  // Within which it counts whole.
  uint32_t priority = 0;                       // 0 is the most urgent.
  uint32_t max_attempts = 1;  // Searchers asked for one service, at most.
  std::vector<WeightedService> services;  // One, or a split; empty: a gather.
  std::optional<GatherRule> gather;
};

// The rank of a route's work; all that is not urgent enough for another one is
// background work.
inline Rank RankOf(const Route& route) {
  return static_cast<Rank>(std::min<uint32_t>(route.priority, kRankCount - 1));
}

// What callers may send, and how long they may stay idle; what is not set is
// left to each instance's settings.
struct CallerLimits {
  std::optional<size_t> header_bytes;
  std::optional<size_t> body_bytes;
  std::optional<std::chrono::milliseconds> idle_timeout;
};

struct RoutedService {
  std::string name;
  uint32_t max_connections = 1;  // That a searcher takes from all instances.
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_ROUTE_H_
