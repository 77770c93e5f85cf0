// The checks of a configuration that concern several sections.
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
             ", want at most " + std::to_string(kMaxFloorSumPercent)});
  }
}

void ConfigurationReader::CheckShardServices() {
  for (const auto& [service, shards] : shards_) {
    for (const ReadShard& read : shards) {
      if (!service_sections_.contains(service)) {
        Fail(FailureKind::kNotFound, *read.section, {},
             "there is no [service " + service + "]");
      }
      CheckReplicas(read);
    }
  }
}

void ConfigurationReader::CheckReplicas(const ReadShard& read) {
  if (read.valid && read.shard.replicas.empty()) {
    Fail(FailureKind::kIncomplete, *read.section, "replicas",
         "want at least one IP:PORT");
  }
  for (const Endpoint& replica : read.shard.replicas) {
    if (!configuration_.searchers.contains(replica)) {
      Fail(FailureKind::kNotFound, *read.section, "replicas",
           "there is no valid [searcher " + ToString(replica) + "]");
    }
  }
}

// Ranges are compared only if all of the service's shards could be read;
// otherwise every invalid shard would show as a gap besides.
void ConfigurationReader::CheckTiling(const std::string& service_name) {
  ServiceConfiguration& service = configuration_.services[service_name];
  const IniSection& section = *service_sections_[service_name];
  std::vector<ReadShard>& shards = shards_[service_name];
  if (shards.empty()) {
    Fail(FailureKind::kIncomplete, section, {},
         "the service has no [shard " + service_name + "/NUMBER]");
    return;
  }
  if (service.key_space == 0 ||
      !std::all_of(shards.begin(), shards.end(),
                   [](const ReadShard& read) { return read.valid; })) {
    return;
  }
  std::sort(shards.begin(), shards.end(),
            [](const ReadShard& left, const ReadShard& right) {
              return left.shard.range < right.shard.range;
            });
  uint64_t expected_begin = 0;
  for (ReadShard& read : shards) {
    CheckNeighbours(read, expected_begin);
    expected_begin = std::max(expected_begin, read.shard.range.end);
    service.shards.push_back(std::move(read.shard));
  }
  if (expected_begin < service.key_space) {
    Fail(FailureKind::kIncomplete, section, "key_space",
         "no shard holds " +
             ToString(KeyRange{expected_begin, service.key_space}));
  }
  if (expected_begin > service.key_space) {
    Fail(FailureKind::kOutOfRange, section, "key_space",
         "a shard holds keys up to " + std::to_string(expected_begin - 1) +
             ", want at most " + std::to_string(service.key_space - 1));
  }
}

void ConfigurationReader::CheckNeighbours(const ReadShard& read,
                                          uint64_t expected_begin) {
  const KeyRange& range = read.shard.range;
  if (range.begin > expected_begin) {
    Fail(FailureKind::kIncomplete, *read.section, "range",
         "no shard holds " + ToString(KeyRange{expected_begin, range.begin}) +
             " before it");
  }
  if (range.begin < expected_begin) {
    const KeyRange twice{range.begin, std::min(expected_begin, range.end)};
    Fail(FailureKind::kDuplicate, *read.section, "range",
         "another shard holds " + ToString(twice) + " too");
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
