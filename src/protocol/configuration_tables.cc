#include "protocol/configuration_tables.h"

namespace greengage {

const SettingTable<Configuration>& DeploymentTable() {
  using C = Configuration;
  static const auto table =
      SettingTable<C>()
          .Section(kDeploymentSection)
          .Name("name", &C::deployment, std::nullopt,
                "Name of the deployment, as shown by status and in logs.")
          .OneOf("log_level", &C::log_level,
                 {{"debug", "debug"},
                  {"info", "info"},
                  {"warning", "warning"},
                  {"error", "error"}},
                 "info", "Least severe level that instances log.");
  return table;
}

const SettingTable<LimitsConfiguration>& LimitsTable() {
  using L = LimitsConfiguration;
  static const auto table =
      SettingTable<L>()
          .Section(kLimitsSection)
          .Integer("queue_per_searcher", &L::queue_per_searcher,
                   {.minimum = 1, .maximum = 65536, .default_value = 256},
                   "Sub-requests of all ranks that wait for one searcher; "
                   "more are refused as not run.")
          .Integer("hedge_percent", &L::hedge_percent,
                   {.maximum = 20, .default_value = 2, .unit = "percent"},
                   "Hedged sub-requests allowed, relative to first attempts.")
          .Integer("retry_percent", &L::retry_percent,
                   {.maximum = 50, .default_value = 10, .unit = "percent"},
                   "Retried sub-requests allowed, relative to first attempts.")
          .Integer("owners_per_searcher", &L::owners_per_searcher,
                   {.minimum = 1, .maximum = 16, .default_value = 1},
                   "Instances in a searcher's data centre that hold "
                   "connections to it.")
          .Time("claim_retention_s", &L::claim_retention,
                {.minimum = 60, .maximum = 604800, .default_value = 3600},
                "How long the claim of a non-idempotent request is kept; "
                "older request ids are refused.")
          .Time("clock_skew_s", &L::clock_skew,
                {.minimum = 1, .maximum = 600, .default_value = 30},
                "Largest difference expected between clocks of callers, "
                "instances and the platform.");
  return table;
}

const SettingTable<RankConfiguration>& RankTable() {
  using R = RankConfiguration;
  static const auto table =
      SettingTable<R>()
          .Section(kRankSection)
          .Name("name", &R::name, std::nullopt,
                "Name that callers use for the rank.")
          .Integer("floor_percent", &R::floor_percent,
                   {.maximum = 90, .unit = "percent"},
                   "Least share of each searcher that the rank keeps while "
                   "others flood; all floors together are at most 90.")
          .Time("target_ms", &R::target, {.minimum = 1, .maximum = 600000},
                "Latency that the rank aims for.");
  return table;
}

const SettingTable<ServiceConfiguration>& ServiceTable() {
  using S = ServiceConfiguration;
  static const auto table =
      SettingTable<S>()
          .Section(kServiceSection)
          .Integer("key_space", &S::key_space,
                   {.minimum = 1, .maximum = uint64_t{1} << 62},
                   "Number of keys; the shards tile 0 to key_space - 1.")
          .Time("deadline_ms", &S::deadline,
                {.minimum = 1, .maximum = 600000, .default_value = 250},
                "Deadline of a query that brings none of its own.");
  return table;
}

const SettingTable<ShardConfiguration>& ShardTable() {
  using S = ShardConfiguration;
  static const auto table =
      SettingTable<S>()
          .Section(kShardSection)
          .Keys("range", &S::range, "Keys of the shard.")
          .Addresses("replicas", &S::replicas, std::nullopt,
                     "Searchers that each hold the whole shard; each needs "
                     "its own section.");
  return table;
}

const SettingTable<SearcherConfiguration>& SearcherTable() {
  using S = SearcherConfiguration;
  static const auto table =
      SettingTable<S>()
          .Section(kSearcherSection)
          .Name("data_centre", &S::data_centre, std::nullopt,
                "Data centre that the searcher runs in.")
          .Integer("slots", &S::slots,
                   {.minimum = 1, .maximum = 1024, .default_value = 2},
                   "Requests that the searcher runs at once.")
          .Integer("connections", &S::connections,
                   {.minimum = 1, .maximum = 65535, .default_value = 25},
                   "Connections that the searcher accepts from all instances "
                   "together.");
  return table;
}

}  // namespace greengage
