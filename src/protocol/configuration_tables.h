// The keys of each kind of section in a configuration file.
#ifndef GREENGAGE_SRC_PROTOCOL_CONFIGURATION_TABLES_H_
#define GREENGAGE_SRC_PROTOCOL_CONFIGURATION_TABLES_H_

#include "greengage/protocol/setting_table.h"
#include "greengage/state/configuration.h"

namespace greengage {

// Kinds of sections, as named in the tables.
inline constexpr char kDeploymentSection[] = "deployment";
inline constexpr char kLimitsSection[] = "limits";
inline constexpr char kRankSection[] = "rank urgent|normal|background";
inline constexpr char kServiceSection[] = "service NAME";
inline constexpr char kShardSection[] = "shard SERVICE/NUMBER";
inline constexpr char kSearcherSection[] = "searcher IP:PORT";

const SettingTable<Configuration>& DeploymentTable();
const SettingTable<LimitsConfiguration>& LimitsTable();
const SettingTable<RankConfiguration>& RankTable();
const SettingTable<ServiceConfiguration>& ServiceTable();
const SettingTable<ShardConfiguration>& ShardTable();
const SettingTable<SearcherConfiguration>& SearcherTable();

}  // namespace greengage

#endif  // GREENGAGE_SRC_PROTOCOL_CONFIGURATION_TABLES_H_
