#include "greengage/protocol/configuration_file.h"
#include "protocol/configuration_reader.h"
#include "protocol/configuration_tables.h"

namespace greengage {

namespace {

template <typename Target>
IniSection ToSection(const SettingTable<Target>& table,
                     std::string name,
                     const Target& target) {
  IniSection section = table.ToSections(target).front();
  section.name = std::move(name);
  return section;
}

template <typename Target>
void AppendInfos(const SettingTable<Target>& table,
                 std::vector<SettingInfo>& infos) {
  for (const auto& setting : table.settings()) {
    infos.push_back(setting.info);
  }
}

}  // namespace

std::string SerializeConfiguration(const Configuration& configuration) {
  std::vector<IniSection> sections;
  sections.push_back(
      ToSection(DeploymentTable(), kDeploymentSection, configuration));
  sections.push_back(
      ToSection(LimitsTable(), kLimitsSection, configuration.limits));
  for (size_t index = 0; index < kRankCount; ++index) {
    sections.push_back(ToSection(
        RankTable(), "rank " + std::string(kRankSectionNames.at(index)),
        configuration.ranks.at(index)));
  }
  for (const auto& [name, service] : configuration.services) {
    sections.push_back(ToSection(ServiceTable(), "service " + name, service));
    for (const ShardConfiguration& shard : service.shards) {
      sections.push_back(ToSection(ShardTable(), "shard " + shard.name, shard));
    }
  }
  for (const auto& [endpoint, searcher] : configuration.searchers) {
    sections.push_back(
        ToSection(SearcherTable(), "searcher " + ToString(endpoint), searcher));
  }
  return ToString(sections);
}

std::vector<SettingInfo> ConfigurationSettings() {
  std::vector<SettingInfo> infos;
  AppendInfos(DeploymentTable(), infos);
  AppendInfos(LimitsTable(), infos);
  AppendInfos(RankTable(), infos);
  AppendInfos(ServiceTable(), infos);
  AppendInfos(ShardTable(), infos);
  AppendInfos(SearcherTable(), infos);
  return infos;
}

}  // namespace greengage
