// The operators' configuration file.
#ifndef GREENGAGE_PROTOCOL_CONFIGURATION_FILE_H_
#define GREENGAGE_PROTOCOL_CONFIGURATION_FILE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/protocol/setting_table.h"
#include "greengage/protocol/validated.h"
#include "greengage/state/configuration.h"

namespace greengage {

// Largest configuration text: what one object of the platform holds.
inline constexpr size_t kMaxConfigurationBytes = size_t{1} << 20;

// The floors of all ranks together leave this much to the most urgent work.
inline constexpr uint32_t kMaxFloorSumPercent = 90;

// Reads and checks a whole file. `file` names it in failures; `version` is
// that of the platform's object, or 0. Reports all failures at once, each with
// "FILE [SECTION] KEY" as subject and the allowed values in the detail.
Validated<Configuration> ParseConfiguration(std::string_view text,
                                            const std::string& file,
                                            uint64_t version);

// The same for a document that has been parsed already.
Validated<Configuration> ReadConfiguration(const IniDocument& document,
                                           uint64_t version);

// The file that ParseConfiguration() reads as `configuration`. The version is
// not part of it.
std::string SerializeConfiguration(const Configuration& configuration);

// Every key of a configuration file, for reference pages.
std::vector<SettingInfo> ConfigurationSettings();

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_CONFIGURATION_FILE_H_
