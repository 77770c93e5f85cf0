// Fault switches of the searcher stand-in, set by POST /faults.
#ifndef STANDINS_SEARCHER_FAULTS_H_
#define STANDINS_SEARCHER_FAULTS_H_

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "greengage/state/key_range.h"
#include "greengage/state/result.h"
#include "greengage/state/time.h"

namespace greengage::standins {

// The distribution of the time for which a request occupies its slot.
struct ServiceTime {
  std::chrono::microseconds base{500};
  uint32_t straggler_percent = 0;
  std::chrono::milliseconds straggler_delay{100};
};

// The index versions and key ranges that the searcher serves.
struct HostedIndex {
  std::vector<uint64_t> versions{1};  // Index versions, oldest first.
  // Key ranges by service; empty: all keys of all services.
  std::map<std::string, std::vector<KeyRange>> ranges;

  bool HasVersion(uint64_t version) const;
  bool HasRange(const std::string& service, const KeyRange& range) const;
};

// The state of all fault switches. The fields of type uint32_t that end in
// `_answers` are the numbers of upcoming answers that they affect.
struct Faults {
  ServiceTime service_time;
  HostedIndex hosted_index;
  std::chrono::milliseconds slow{0};  // Added to every service time.
  bool shed = false;                  // Rejects all work as not run.
  bool drain = false;                 // Reports that it is draining.
  bool drain_refuses = true;  // While draining, rejects work as not run.
  TimePoint cold_until;       // Slower by kColdSlowdownFactor before then.
  // Reported by /health instead of the real state.
  std::optional<bool> health_override;
  // Reported in all loads instead of the real load.
  std::optional<boost::json::object> load_override;
  // Connections up to this number get no responses.
  uint64_t stalled_connections = 0;
  uint32_t crossed_answers = 0;    // Send the answer to an earlier request.
  uint32_t short_answers = 0;      // Search the first half of the range only.
  uint32_t truncated_answers = 0;  // Send the first half of the JSON text.
  uint32_t lost_answers = 0;  // Run the request, then close the connection.
};

inline constexpr uint32_t kColdSlowdownFactor = 10;

// Applies a JSON object of switches. Switches that are absent keep their state.
// The switch "stall" stalls the connections up to `latest_connection`, the
// number of the newest one. Fails with kInvalidSyntax or kUnknownKey, without a
// change of `faults`.
Result<Done> ApplyFaults(const boost::json::object& switches,
                         TimePoint now,
                         uint64_t latest_connection,
                         Faults& faults);

}  // namespace greengage::standins

#endif  // STANDINS_SEARCHER_FAULTS_H_
