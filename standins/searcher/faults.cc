#include "standins/searcher/faults.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "standins/common/json.h"

namespace greengage::standins {

namespace {

constexpr std::array<std::string_view, 17> kFaultSwitches = {
    "service_us",
    "straggler_percent",
    "straggler_ms",
    "slow_ms",
    "shed",
    "drain",
    "drain_refuses",
    "cold_ms",
    "health",
    "load",
    "stall",
    "versions",
    "ranges",
    "crossed_answers",
    "short_answers",
    "lost_answers",
    "truncated_answers"};

template <typename Unit>
void ParseDuration(const boost::json::object& switches,
                   std::string_view name,
                   Unit& duration) {
  duration =
      Unit(NumberOr(switches, name, static_cast<uint64_t>(duration.count())));
}

void ParseCount(const boost::json::object& switches,
                std::string_view name,
                uint32_t& count) {
  count = static_cast<uint32_t>(NumberOr(switches, name, count));
}

Result<Done> ParseVersions(const boost::json::value& value,
                           std::vector<uint64_t>& versions) {
  if (!value.is_array() || value.get_array().empty()) {
    return Failure{FailureKind::kInvalidSyntax, "versions",
                   "must be a list of numbers"};
  }
  versions.clear();
  for (const boost::json::value& version : value.get_array()) {
    boost::system::error_code error;
    versions.push_back(version.to_number<uint64_t>(error));
    if (error) {
      return Failure{FailureKind::kInvalidSyntax, "versions", error.message()};
    }
  }
  std::sort(versions.begin(), versions.end());
  return Done{};
}

// Parses the key ranges of services:
// {"table-finder": [[0, 99], [200, 299]]}
Result<Done> ParseRanges(const boost::json::value& value,
                         std::map<std::string, std::vector<KeyRange>>& ranges) {
  const Failure invalid{FailureKind::kInvalidSyntax, "ranges",
                        "must be {SERVICE: [[FIRST, LAST], ...]}"};
  if (!value.is_object()) {
    return invalid;
  }
  ranges.clear();
  for (const auto& [service, list] : value.get_object()) {
    if (!list.is_array()) {
      return invalid;
    }
    std::vector<KeyRange>& held = ranges[std::string(service)];
    for (const boost::json::value& item : list.get_array()) {
      const Result<KeyRange> range = ParseRange(item);
      if (!range) {
        return invalid;
      }
      held.push_back(*range);
    }
  }
  return Done{};
}

Result<Done> ParseHostedIndex(const boost::json::object& switches,
                              HostedIndex& hosted_index) {
  if (const auto* versions = switches.if_contains("versions")) {
    Result<Done> parsed = ParseVersions(*versions, hosted_index.versions);
    if (!parsed) {
      return parsed;
    }
  }
  if (const auto* ranges = switches.if_contains("ranges")) {
    return ParseRanges(*ranges, hosted_index.ranges);
  }
  return Done{};
}

Result<Done> ParseReportOverrides(const boost::json::object& switches,
                                  Faults& faults) {
  if (const auto* health = switches.if_contains("health")) {
    faults.health_override.reset();
    if (health->is_string()) {
      faults.health_override = health->get_string() == "ok";
    }
  }
  if (const auto* load = switches.if_contains("load")) {
    faults.load_override.reset();
    if (load->is_object()) {
      faults.load_override = load->get_object();
    }
  }
  return Done{};
}

void ParseBehaviour(const boost::json::object& switches,
                    TimePoint now,
                    uint64_t latest_connection,
                    Faults& faults) {
  ParseDuration(switches, "service_us", faults.service_time.base);
  ParseCount(switches, "straggler_percent",
             faults.service_time.straggler_percent);
  ParseDuration(switches, "straggler_ms", faults.service_time.straggler_delay);
  ParseDuration(switches, "slow_ms", faults.slow);
  faults.shed = BoolOr(switches, "shed", faults.shed);
  faults.drain = BoolOr(switches, "drain", faults.drain);
  faults.drain_refuses =
      BoolOr(switches, "drain_refuses", faults.drain_refuses);
  if (switches.contains("cold_ms")) {
    faults.cold_until =
        now + std::chrono::milliseconds(NumberOr(switches, "cold_ms", 0));
  }
  if (switches.contains("stall")) {
    faults.stalled_connections =
        BoolOr(switches, "stall", false) ? latest_connection : 0;
  }
  ParseCount(switches, "crossed_answers", faults.crossed_answers);
  ParseCount(switches, "short_answers", faults.short_answers);
  ParseCount(switches, "truncated_answers", faults.truncated_answers);
  ParseCount(switches, "lost_answers", faults.lost_answers);
}

}  // namespace

bool HostedIndex::HasVersion(uint64_t version) const {
  return std::find(versions.begin(), versions.end(), version) != versions.end();
}

bool HostedIndex::HasRange(const std::string& service,
                           const KeyRange& range) const {
  if (ranges.empty()) {
    return true;
  }
  const auto held = ranges.find(service);
  return held != ranges.end() &&
         std::any_of(held->second.begin(), held->second.end(),
                     [&](const KeyRange& part) { return part.Covers(range); });
}

Result<Done> ApplyFaults(const boost::json::object& switches,
                         TimePoint now,
                         uint64_t latest_connection,
                         Faults& faults) {
  for (const auto& [name, value] : switches) {
    if (std::find(kFaultSwitches.begin(), kFaultSwitches.end(),
                  std::string_view(name.data(), name.size())) ==
        kFaultSwitches.end()) {
      return Failure{FailureKind::kUnknownKey, std::string(name),
                     "no such fault switch"};
    }
  }
  Faults changed = faults;
  Result<Done> hosted_index = ParseHostedIndex(switches, changed.hosted_index);
  if (!hosted_index) {
    return hosted_index;
  }
  Result<Done> overrides = ParseReportOverrides(switches, changed);
  if (!overrides) {
    return overrides;
  }
  ParseBehaviour(switches, now, latest_connection, changed);
  faults = std::move(changed);
  return Done{};
}

}  // namespace greengage::standins
