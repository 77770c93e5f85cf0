#include "protocol/configuration_reader.h"

#include <algorithm>
#include <set>
#include <utility>

#include "protocol/configuration_tables.h"

namespace greengage {

namespace {

constexpr char kSectionRule[] =
    "want [deployment], [limits], [rank urgent], [rank normal], "
    "[rank background], [service NAME], [shard SERVICE/NUMBER] or "
    "[searcher IP:PORT]";

// A section's name in two parts: "rank urgent" is the kind "rank" and the
// name "urgent".
struct SectionName {
  std::string kind;
  std::string name;
};

SectionName SplitName(const std::string& text) {
  const size_t space = text.find(' ');
  if (space == std::string::npos) {
    return {text, {}};
  }
  const size_t name = text.find_first_not_of(' ', space);
  return {text.substr(0, space), text.substr(name)};
}

}  // namespace

ConfigurationReader::ConfigurationReader(const IniDocument& document,
                                         uint64_t version)
    : document_(document) {
  configuration_.version = version;
}

Validated<Configuration> ConfigurationReader::Run() {
  for (const IniSection& section : document_.sections()) {
    ReadSection(section);
  }
  CheckRequiredSections();
  CheckRanks();
  CheckShardServices();
  for (const auto& [service, section] : service_sections_) {
    CheckTiling(service);
  }
  if (!failures_.empty()) {
    return std::move(failures_);
  }
  return std::move(configuration_);
}

void ConfigurationReader::ReadSection(const IniSection& section) {
  const SectionName parts = SplitName(section.name);
  const bool named = !parts.name.empty();
  if (parts.kind == "deployment" && !named) {
    ReadDeployment(section);
  } else if (parts.kind == "limits" && !named) {
    ReadLimits(section);
  } else if (parts.kind == "rank" && named) {
    ReadRank(section, parts.name);
  } else if (parts.kind == "service" && named) {
    ReadService(section, parts.name);
  } else if (parts.kind == "shard" && named) {
    ReadShardSection(section, parts.name);
  } else if (parts.kind == "searcher" && named) {
    ReadSearcher(section, parts.name);
  } else {
    Fail(FailureKind::kUnknownSection, section, {}, kSectionRule);
  }
}

void ConfigurationReader::ReadDeployment(const IniSection& section) {
  DeploymentTable().Read(document_, section, kDeploymentSection, configuration_,
                         failures_);
}

void ConfigurationReader::ReadLimits(const IniSection& section) {
  LimitsTable().Read(document_, section, kLimitsSection, configuration_.limits,
                     failures_);
}

void ConfigurationReader::ReadRank(const IniSection& section,
                                   const std::string& name) {
  const auto* const found =
      std::find(kRankSectionNames.begin(), kRankSectionNames.end(), name);
  if (found == kRankSectionNames.end()) {
    Fail(FailureKind::kUnknownSection, section, {}, kSectionRule);
    return;
  }
  const auto index = static_cast<size_t>(found - kRankSectionNames.begin());
  RankTable().Read(document_, section, kRankSection,
                   configuration_.ranks.at(index), failures_);
}

void ConfigurationReader::ReadService(const IniSection& section,
                                      const std::string& name) {
  const Result<std::string> valid = ParseName(name);
  if (!valid) {
    Fail(FailureKind::kInvalidArgument, section, {},
         valid.last_reason().detail);
  }
  ServiceConfiguration service;
  ServiceTable().AssignDefaults(service);
  service.name = name;
  ServiceTable().Read(document_, section, kServiceSection, service, failures_);
  service_sections_[name] = &section;
  configuration_.services[name] = std::move(service);
}

void ConfigurationReader::ReadShardSection(const IniSection& section,
                                           const std::string& name) {
  const size_t failures_before = failures_.size();
  const size_t slash = name.rfind('/');
  const std::string service = name.substr(0, slash);
  const std::string number =
      slash == std::string::npos ? "" : name.substr(slash + 1);
  const Result<uint64_t> valid = ParseNumber(number, 0, UINT32_MAX);
  if (!valid || std::to_string(*valid) != number) {
    Fail(FailureKind::kInvalidArgument, section, {},
         "want [shard SERVICE/NUMBER], as in [shard table-finder/3]");
  }
  ReadShard read;
  read.section = &section;
  read.shard.name = name;
  ShardTable().Read(document_, section, kShardSection, read.shard, failures_);
  read.valid = failures_.size() == failures_before;
  shards_[service].push_back(std::move(read));
}

void ConfigurationReader::ReadSearcher(const IniSection& section,
                                       const std::string& name) {
  const Result<Endpoint> endpoint = ParseEndpoint(name);
  if (!endpoint) {
    Fail(FailureKind::kInvalidArgument, section, {},
         endpoint.last_reason().detail);
  }
  SearcherConfiguration searcher;
  SearcherTable().AssignDefaults(searcher);
  SearcherTable().Read(document_, section, kSearcherSection, searcher,
                       failures_);
  if (!endpoint) {
    return;
  }
  searcher.endpoint = *endpoint;
  if (!configuration_.searchers.emplace(*endpoint, searcher).second) {
    Fail(FailureKind::kDuplicate, section, {},
         ToString(*endpoint) + " has a section already");
  }
}

Validated<Configuration> ReadConfiguration(const IniDocument& document,
                                           uint64_t version) {
  return ConfigurationReader(document, version).Run();
}

Validated<Configuration> ParseConfiguration(std::string_view text,
                                            const std::string& file,
                                            uint64_t version) {
  if (text.size() > kMaxConfigurationBytes) {
    return std::vector<Failure>{{FailureKind::kTooLarge, file,
                                 std::to_string(text.size()) +
                                     " bytes, want at most " +
                                     std::to_string(kMaxConfigurationBytes)}};
  }
  const Validated<IniDocument> document = IniDocument::Parse(text, file);
  if (!document) {
    return document.failures();
  }
  return ReadConfiguration(*document, version);
}

}  // namespace greengage
