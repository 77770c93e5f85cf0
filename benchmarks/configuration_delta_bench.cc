// Compares the size of a whole configuration with that of a delta after a
// change of one shard, and measures the time to parse, make and apply them.
// Usage: configuration_delta_bench [SEARCHERS...]
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "greengage/coordination/attempt_header.h"
#include "greengage/protocol/configuration_delta.h"
#include "greengage/protocol/configuration_file.h"

namespace greengage {
namespace {

constexpr size_t kReplicas = 2;
constexpr uint64_t kKeysPerShard = 1000;
constexpr size_t kShardsPerService = 340;
constexpr size_t kDataCentres = 6;

Endpoint SearcherEndpoint(size_t searcher) {
  return {"10." + std::to_string(searcher / 65536) + "." +
              std::to_string(searcher / 256 % 256) + "." +
              std::to_string(searcher % 256),
          9000};
}

// Returns a configuration whose services have at most kShardsPerService shards,
// with kReplicas searchers each.
Configuration MakeConfiguration(size_t searchers) {
  Configuration configuration;
  configuration.deployment = "benchmark";
  const char* names[kRankCount] = {"guest", "suggest", "publish"};
  for (size_t index = 0; index < kRankCount; ++index) {
    configuration.ranks.at(index).name = names[index];
  }
  for (size_t shard = 0; shard < searchers / kReplicas; ++shard) {
    const std::string name =
        "table-finder-" + std::to_string(shard / kShardsPerService);
    ServiceConfiguration& service = configuration.services[name];
    const size_t number = shard % kShardsPerService;
    service.name = name;
    service.key_space = (number + 1) * kKeysPerShard;
    ShardConfiguration entry;
    entry.name = name + "/" + std::to_string(number);
    entry.range = {number * kKeysPerShard, (number + 1) * kKeysPerShard};
    for (size_t replica = 0; replica < kReplicas; ++replica) {
      SearcherConfiguration searcher;
      searcher.endpoint = SearcherEndpoint(shard * kReplicas + replica);
      searcher.data_centre =
          "data-centre-" + std::to_string(shard % kDataCentres);
      entry.replicas.push_back(searcher.endpoint);
      configuration.searchers[searcher.endpoint] = searcher;
    }
    service.shards.push_back(entry);
  }
  return configuration;
}

double MillisecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - start)
      .count();
}

// Returns the configuration text with the replicas of the middle shard swapped,
// in the form that `greengagectl apply` writes.
std::string ChangeOneShard(Configuration configuration) {
  auto& services = configuration.services;
  auto service =
      std::next(services.begin(), static_cast<long>(services.size() / 2));
  std::vector<ShardConfiguration>& shards = service->second.shards;
  std::vector<Endpoint>& replicas = shards[shards.size() / 2].replicas;
  std::swap(replicas.front(), replicas.back());
  return PrependAttempts(
      {{std::string(32, 'b'), 41}, {std::string(32, 'a'), 40}},
      SerializeConfiguration(configuration));
}

bool RunBenchmark(size_t searchers) {
  const Configuration configuration = MakeConfiguration(searchers);
  const std::string base = PrependAttempts(
      {{std::string(32, 'a'), 40}}, SerializeConfiguration(configuration));
  const std::string changed = ChangeOneShard(configuration);
  auto start = std::chrono::steady_clock::now();
  const auto parsed = ParseConfiguration(base, "benchmark", 41);
  const double parse_ms = MillisecondsSince(start);
  ConfigurationReply reply;
  reply.stamp = {1764814254000, 1};
  reply.version = 42;
  reply.text = changed;
  const size_t whole_bytes = SerializeConfigurationReply(reply).size();
  start = std::chrono::steady_clock::now();
  reply.delta = MakeDelta(base, changed);
  const double make_ms = MillisecondsSince(start);
  reply.base_version = 41;
  if (!parsed || !reply.delta) {
    std::fprintf(stderr, "%zu searchers: invalid configuration or delta\n",
                 searchers);
    return false;
  }
  const size_t delta_bytes = SerializeConfigurationReply(reply).size();
  start = std::chrono::steady_clock::now();
  const Result<std::string> applied = ApplyDelta(base, *reply.delta);
  const double apply_ms = MillisecondsSince(start);
  std::printf(
      "%9zu %11zu %11zu %7.0f %9.1f %8.1f %9.1f\n", searchers, whole_bytes,
      delta_bytes,
      static_cast<double>(whole_bytes) / static_cast<double>(delta_bytes),
      parse_ms, make_ms, apply_ms);
  return applied && *applied == changed;
}

int Main(int argc, char** argv) {
  std::vector<size_t> sizes;
  for (int index = 1; index < argc; ++index) {
    sizes.push_back(std::strtoul(argv[index], nullptr, 10));
  }
  if (sizes.empty()) {
    sizes = {120, 1000, 6900};
  }
  std::printf("%9s %11s %11s %7s %9s %8s %9s\n", "searchers", "whole_bytes",
              "delta_bytes", "ratio", "parse_ms", "make_ms", "apply_ms");
  return std::all_of(sizes.begin(), sizes.end(), RunBenchmark) ? 0 : 1;
}

}  // namespace
}  // namespace greengage

int main(int argc, char** argv) {
  return greengage::Main(argc, argv);
}
