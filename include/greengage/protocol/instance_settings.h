// The settings of one instance, read from its own INI file: addresses and
// local limits.
#ifndef GREENGAGE_PROTOCOL_INSTANCE_SETTINGS_H_
#define GREENGAGE_PROTOCOL_INSTANCE_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/coordination/data_centre_spill.h"
#include "greengage/protocol/setting_table.h"
#include "greengage/protocol/validated.h"
#include "greengage/state/endpoint.h"
#include "greengage/state/log_level.h"

namespace greengage {

// Protocol of the platform's store, the searchers and the callers.
enum class PlatformDialect : uint8_t {
  kQueries,  // This project's own platform: queries over key ranges.
  kObjects,  // The users' platform: routing of opaque requests.
};

// The defaults are in InstanceSettingTable(). Sizes are in bytes.
struct InstanceSettings {
  std::string id;
  std::string data_centre;
  uint32_t threads = 0;
  double capacity = 0;  // Processor cores that the instance may use.
  // The whole deployment starts for the first time.
  bool first_start = false;

  // Addresses that the instance listens on.
  Endpoint http;     // For callers and operators.
  Endpoint peer;     // For streams from other instances.
  Endpoint gossip;   // For membership datagrams.
  Endpoint ready;    // For readiness checks; only with kObjects.
  Endpoint metrics;  // For metrics; only with kObjects.

  PlatformDialect dialect = PlatformDialect::kQueries;
  Endpoint platform;
  std::chrono::milliseconds platform_timeout{};

  std::vector<Endpoint> seeds;  // Gossip end points of other instances.

  size_t http_body_bytes = 0;
  size_t http_header_bytes = 0;
  size_t http_connections = 0;
  std::chrono::milliseconds http_read_timeout{};
  std::chrono::milliseconds http_idle_timeout{};
  size_t http_in_flight = 0;  // Limit on concurrent queries.

  std::chrono::milliseconds leave_time{};
  double extra_arrivals_ratio = 0;
  uint32_t extra_arrivals_allowance = 0;
  std::chrono::duration<double> extra_arrivals_window{};
  std::map<std::string, std::string> regions;  // By data centre.
  SpillMode spill = SpillMode::kReported;
  // Latency that a request must gain for it to pay to leave the data centre,
  // and to leave the region.
  std::chrono::milliseconds leaving_cost{};
  std::chrono::milliseconds leaving_region_cost{};
  // In any such window, all instances together may exceed the quota of an
  // organisation by a fraction and a number of requests. Zero means that quotas
  // are not enforced.
  std::chrono::duration<double> quota_window{};
  double quota_overage = 0;
  uint32_t quota_allowance = 0;
  // Time after which changes are known that an answer of the store reported
  // which was lost.
  std::chrono::milliseconds recovery_time{};
  // Time in which an evacuation takes effect. Zero means that evacuations are
  // not read.
  std::chrono::milliseconds evacuation_time{};

  LogLevel log_level = LogLevel::kInfo;
  LogFormat log_format = LogFormat::kText;

  std::chrono::milliseconds stop_notice{};
  std::chrono::milliseconds stop_grace{};
  std::chrono::duration<double> stop_within{};  // Zero means no limit.
};

// Returns all keys with their sections, bounds and defaults.
const SettingTable<InstanceSettings>& InstanceSettingTable();

// Parses and validates a settings file. `file` is its name in failures. Reports
// all failures at once, with "FILE [SECTION] KEY" as subject.
Validated<InstanceSettings> ParseInstanceSettings(std::string_view text,
                                                  const std::string& file);

// Like ParseInstanceSettings(), for the file at `path`. Also fails with
// kUnreadableFile.
Validated<InstanceSettings> LoadInstanceSettings(const std::string& path);

// Returns the defaults; settings that are required stay empty.
InstanceSettings DefaultInstanceSettings();

// Returns a file that ParseInstanceSettings() parses into equal settings.
std::string PrintInstanceSettings(const InstanceSettings& settings);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_INSTANCE_SETTINGS_H_
