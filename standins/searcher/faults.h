// The searcher stand-in's fault switches, set by POST /faults.
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

// How long a request holds its slot.
struct ServiceTime {
  std::chrono::microseconds base{500};
  uint32_t straggler_percent = 0;
  std::chrono::milliseconds straggler{100};
};

// What the searcher holds.
struct Holdings {
  std::vector<uint64_t> versions{1};  // Index versions, oldest first.
  // Key ranges by service; empty: all keys of all services.
  std::map<std::string, std::vector<KeyRange>> ranges;

  bool HasVersion(uint64_t version) const;
  bool HasRange(const std::string& service, const KeyRange& range) const;
};

// Present state of all switches. Counters tell how many of the next answers
// are affected.
struct Faults {
  ServiceTime service_time;
  Holdings holdings;
  std::chrono::milliseconds slow{0};  // Added to every service time.
  bool shed = false;                  // Refuses all work as not run.
  bool drain = false;                 // Says that it is leaving.
  bool drain_refuses = true;          // While leaving, refuses work as not run.
  TimePoint cold_until;               // Until then, kColdFactor times slower.
  std::optional<bool> health_ok;      // What /health says, if it lies.
  std::optional<boost::json::object> load;  // What all loads say, if they lie.
  uint64_t stalled_connections = 0;  // Connections up to this one are silent.
  uint32_t crossed_answers = 0;      // Answer with another request's answer.
  uint32_t short_answers = 0;        // Search less than the range asked for.
  uint32_t truncated_answers = 0;    // Send half of the JSON text.
  uint32_t lost_answers = 0;         // Run, then close the connection.
};

inline constexpr uint32_t kColdFactor = 10;

// Applies a JSON object of switches; `latest_connection` is the newest one,
// for the switch "stall". Members that are absent keep their state. Fails with
// kInvalidSyntax or kUnknownKey and changes nothing then.
Result<Done> ApplyFaults(const boost::json::object& switches,
                         TimePoint now,
                         uint64_t latest_connection,
                         Faults& faults);

}  // namespace greengage::standins

#endif  // STANDINS_SEARCHER_FAULTS_H_
