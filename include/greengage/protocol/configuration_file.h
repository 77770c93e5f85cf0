// Parses and serializes the operators' configuration file.
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

// Size limit of a configuration text, equal to that of a platform object.
inline constexpr size_t kMaxConfigurationBytes = size_t{1} << 20;

// Limit on the sum of the floors of all ranks, in percent. The remainder is
// left to the most urgent rank.
inline constexpr uint32_t kMaxFloorSumPercent = 90;

// Parses and validates a whole file. `file` is its name in failures; `version`
// is the version of the platform object, or 0. Reports all failures at once,
// each with "FILE [SECTION] KEY" as subject and the allowed values in the
// detail.
Validated<Configuration> ParseConfiguration(std::string_view text,
                                            const std::string& file,
                                            uint64_t version);

// Like ParseConfiguration(), for a parsed document.
Validated<Configuration> ReadConfiguration(const IniDocument& document,
                                           uint64_t version);

// Returns a file that ParseConfiguration() parses into an equal configuration.
// The file does not contain the version.
std::string SerializeConfiguration(const Configuration& configuration);

// Returns every key of a configuration file, for the reference page.
std::vector<SettingInfo> ConfigurationSettings();

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_CONFIGURATION_FILE_H_
