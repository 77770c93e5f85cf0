// Checks of a configuration that involve several sections.
#include <algorithm>
#include <set>
#include <utility>

#include "protocol/configuration_reader.h"

namespace greengage {

void ConfigurationReader::CheckRequiredSections() {
  if (document_.Find("deployment") == nullptr) {
    FailMissing("deployment");
  }
  for (const std::string_view rank : kRankSectionNames) {
    const std::string section = "rank " + std::string(rank);
    if (document_.Find(section) == nullptr) {
      FailMissing(section);
    }
  }
  if (service_sections_.empty()) {
    FailMissing("service NAME");
  }
}

void ConfigurationReader::CheckRanks() {
  std::set<std::string> names;
  uint32_t floor_sum = 0;
  for (size_t index = 0; index < kRankCount; ++index) {
    const RankConfiguration& rank = configuration_.ranks.at(index);
    const IniSection* section =
        document_.Find("rank " + std::string(kRankSectionNames.at(index)));
    floor_sum += rank.floor_percent;
    if (section != nullptr && !rank.name.empty() &&
        !names.insert(rank.name).second) {
      Fail(FailureKind::kDuplicate, *section, "name",
           "another rank is named " + rank.name);
    }
  }
  if (floor_sum > kMaxFloorSumPercent) {
    failures_.push_back(
        {FailureKind::kOutOfRange, document_.Subject("rank *", "floor_percent"),
         "the floors of all ranks sum to " + std::to_string(floor_sum) +
             ", expected at most " + std::to_string(kMaxFloorSumPercent)});
  }
}

void ConfigurationReader::CheckShardServices() {
  for (const auto& [service, shards] : shards_) {
    for (const ParsedShard& parsed : shards) {
      if (!service_sections_.contains(service)) {
        Fail(FailureKind::kNotFound, *parsed.section, {},
             "there is no [service " + service + "]");
      }
      CheckReplicas(parsed);
    }
  }
}

void ConfigurationReader::CheckReplicas(const ParsedShard& parsed) {
  if (parsed.valid && parsed.shard.replicas.empty()) {
    Fail(FailureKind::kIncomplete, *parsed.section, "replicas",
         "expected at least one IP:PORT");
  }
  for (const Endpoint& replica : parsed.shard.replicas) {
    if (!configuration_.searchers.contains(replica)) {
      Fail(FailureKind::kNotFound, *parsed.section, "replicas",
           "there is no valid [searcher " + ToString(replica) + "]");
    }
  }
}

// Compares ranges only if all shards of the service are valid. Otherwise every
// invalid shard would also be reported as a gap.
void ConfigurationReader::CheckTiling(const std::string& service_name) {
  ServiceConfiguration& service = configuration_.services[service_name];
  const IniSection& section = *service_sections_[service_name];
  std::vector<ParsedShard>& shards = shards_[service_name];
  if (shards.empty()) {
    Fail(FailureKind::kIncomplete, section, {},
         "the service has no [shard " + service_name + "/NUMBER]");
    return;
  }
  if (service.key_space == 0 ||
      !std::all_of(shards.begin(), shards.end(),
                   [](const ParsedShard& parsed) { return parsed.valid; })) {
    return;
  }
  std::sort(shards.begin(), shards.end(),
            [](const ParsedShard& left, const ParsedShard& right) {
              return left.shard.range < right.shard.range;
            });
  uint64_t expected_begin = 0;
  for (ParsedShard& parsed : shards) {
    CheckNeighbours(parsed, expected_begin);
    expected_begin = std::max(expected_begin, parsed.shard.range.end);
    service.shards.push_back(std::move(parsed.shard));
  }
  if (expected_begin < service.key_space) {
    Fail(FailureKind::kIncomplete, section, "key_space",
         "no shard holds " +
             ToString(KeyRange{expected_begin, service.key_space}));
  }
  if (expected_begin > service.key_space) {
    Fail(FailureKind::kOutOfRange, section, "key_space",
         "a shard holds keys up to " + std::to_string(expected_begin - 1) +
             ", expected at most " + std::to_string(service.key_space - 1));
  }
}

void ConfigurationReader::CheckNeighbours(const ParsedShard& parsed,
                                          uint64_t expected_begin) {
  const KeyRange& range = parsed.shard.range;
  if (range.begin > expected_begin) {
    Fail(FailureKind::kIncomplete, *parsed.section, "range",
         "no shard holds " + ToString(KeyRange{expected_begin, range.begin}) +
             " before this one");
  }
  if (range.begin < expected_begin) {
    const KeyRange overlap{range.begin, std::min(expected_begin, range.end)};
    Fail(FailureKind::kDuplicate, *parsed.section, "range",
         "another shard also holds " + ToString(overlap));
  }
}

void ConfigurationReader::Fail(FailureKind kind,
                               const IniSection& section,
                               std::string_view key,
                               const std::string& detail) {
  failures_.push_back({kind, document_.Subject(section.name, key),
                       "line " + std::to_string(section.line) + ": " + detail});
}

void ConfigurationReader::FailMissing(const std::string& section) {
  failures_.push_back({FailureKind::kMissingKey, document_.Subject(section),
                       "the section is required"});
}

}  // namespace greengage
