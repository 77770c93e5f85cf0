// Converts the sections of an INI document to a Configuration.
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

// Names of the ranks in section names, from the most to the least urgent.
inline constexpr std::array<std::string_view, kRankCount> kRankSectionNames = {
    "urgent", "normal", "background"};

// Reads one document. It first reads each section separately, and then checks
// the relations between the sections that it could read.
class ConfigurationReader {
 public:
  ConfigurationReader(const IniDocument& document, uint64_t version);

  Validated<Configuration> Run();

 private:
  // A shard with the section that it was read from.
  struct ParsedShard {
    ShardConfiguration shard;
    const IniSection* section = nullptr;
    bool valid = false;  // True if all keys of the section are valid.
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
  void CheckReplicas(const ParsedShard& parsed);
  void CheckTiling(const std::string& service_name);
  void CheckNeighbours(const ParsedShard& parsed, uint64_t expected_begin);

  void Fail(FailureKind kind,
            const IniSection& section,
            std::string_view key,
            const std::string& detail);
  void FailMissing(const std::string& section);

  const IniDocument& document_;
  Configuration configuration_;
  std::vector<Failure> failures_;
  std::map<std::string, const IniSection*> service_sections_;
  std::map<std::string, std::vector<ParsedShard>> shards_;  // By service.
};

}  // namespace greengage

#endif  // GREENGAGE_SRC_PROTOCOL_CONFIGURATION_READER_H_
