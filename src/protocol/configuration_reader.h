// Turns the sections of a document into a Configuration.
#ifndef GREENGAGE_SRC_PROTOCOL_CONFIGURATION_READER_H_
#define GREENGAGE_SRC_PROTOCOL_CONFIGURATION_READER_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/protocol/configuration_file.h"

namespace greengage {

// Names of the ranks' sections, from the most urgent to the least.
inline constexpr std::array<std::string_view, kRankCount> kRankSectionNames = {
    "urgent", "normal", "background"};

// Reads one document. Each section is read on its own first; checks between
// sections use only what could be read.
class ConfigurationReader {
 public:
  ConfigurationReader(const IniDocument& document, uint64_t version);

  Validated<Configuration> Run();

 private:
  // A shard with the section that it was read from.
  struct ReadShard {
    ShardConfiguration shard;
    const IniSection* section = nullptr;
    bool valid = false;  // Its own keys are valid.
  };

  void ReadSection(const IniSection& section);
  void ReadDeployment(const IniSection& section);
  void ReadLimits(const IniSection& section);
  void ReadRank(const IniSection& section, const std::string& name);
  void ReadService(const IniSection& section, const std::string& name);
  void ReadShardSection(const IniSection& section, const std::string& name);
  void ReadSearcher(const IniSection& section, const std::string& name);

  void CheckRequiredSections();
  void CheckRanks();
  void CheckShardServices();
  void CheckReplicas(const ReadShard& read);
  void CheckTiling(const std::string& service_name);
  void CheckNeighbours(const ReadShard& shard, uint64_t expected_begin);

  void Fail(FailureKind kind,
            const IniSection& section,
            std::string_view key,
            const std::string& detail);
  void FailMissing(const std::string& section);

  const IniDocument& document_;
  Configuration configuration_;
  std::vector<Failure> failures_;
  std::map<std::string, const IniSection*> service_sections_;
  std::map<std::string, std::vector<ReadShard>> shards_;  // By service.
};

}  // namespace greengage

#endif  // GREENGAGE_SRC_PROTOCOL_CONFIGURATION_READER_H_
