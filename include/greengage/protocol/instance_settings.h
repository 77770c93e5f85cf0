// The settings of one instance: its addresses and local limits, from its own
// INI file.
#ifndef GREENGAGE_PROTOCOL_INSTANCE_SETTINGS_H_
#define GREENGAGE_PROTOCOL_INSTANCE_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/protocol/setting_table.h"
#include "greengage/protocol/validated.h"
#include "greengage/state/endpoint.h"
#include "greengage/state/log_level.h"

namespace greengage {

// What the store, the searchers and the callers speak.
enum class PlatformDialect : uint8_t {
  kQueries,  // The project's own: queries over key ranges.
  kObjects,  // The users' platform: routes of opaque requests.
};

// Initial values are in InstanceSettingTable(). Sizes are in bytes.
struct InstanceSettings {
  std::string id;
  std::string data_centre;
  uint32_t threads = 0;

  Endpoint http;     // Callers and operators.
  Endpoint peer;     // Streams from other instances.
  Endpoint gossip;   // Datagrams of membership.
  Endpoint ready;    // The balancer, in the dialect "objects".
  Endpoint metrics;  // Metrics, in the dialect "objects".

  PlatformDialect dialect = PlatformDialect::kQueries;
  Endpoint platform;
  std::chrono::milliseconds platform_timeout{};

  std::vector<Endpoint> seeds;  // Gossip end points of other instances.

  size_t http_body_bytes = 0;
  size_t http_header_bytes = 0;
  size_t http_connections = 0;
  std::chrono::milliseconds http_read_timeout{};
  std::chrono::milliseconds http_idle_timeout{};
  size_t http_in_flight = 0;  // Queries at once.

  std::chrono::milliseconds leave_time{};
  double extra_arrivals_ratio = 0;
  uint32_t extra_arrivals_allowance = 0;
  std::chrono::duration<double> extra_arrivals_window{};

  LogLevel log_level = LogLevel::kInfo;
  LogFormat log_format = LogFormat::kText;

  std::chrono::milliseconds stop_notice{};
  std::chrono::milliseconds stop_grace{};
  std::chrono::duration<double> stop_within{};  // Zero: no limit.
};

// All keys with their sections, bounds and initial values.
const SettingTable<InstanceSettings>& InstanceSettingTable();

// Reads and checks a settings file. `file` names it in failures. Reports all
// failures at once, with "FILE [SECTION] KEY" as subject.
Validated<InstanceSettings> ParseInstanceSettings(std::string_view text,
                                                  const std::string& file);

// The same for the file at `path`; fails with kUnreadableFile besides.
Validated<InstanceSettings> LoadInstanceSettings(const std::string& path);

// Initial values throughout; what is required stays empty.
InstanceSettings DefaultInstanceSettings();

// The file that ParseInstanceSettings() reads as `settings`.
std::string PrintInstanceSettings(const InstanceSettings& settings);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_INSTANCE_SETTINGS_H_
