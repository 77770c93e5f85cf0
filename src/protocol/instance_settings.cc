#include "greengage/protocol/instance_settings.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace greengage {

namespace {

using S = InstanceSettings;

constexpr uint64_t kMaxTimeoutMs = 600000;
constexpr uint64_t kMaxBytes = uint64_t{16} << 20;

SettingTable<S> MakeTable() {
  SettingTable<S> table;
  table.Section("instance")
      .Name("id", &S::id, std::nullopt,
            "Name of this instance, unique in the deployment.")
      .Name("data_centre", &S::data_centre, std::nullopt,
            "Data centre that this instance runs in.")
      .Integer("threads", &S::threads,
               {.minimum = 1, .maximum = 64, .default_value = 2},
               "Threads that serve requests.")
      .Decimal("capacity", &S::capacity, 0.001, 1024, "1",
               "Processor cores that this instance may use. Instances with "
               "more serve their peers; only with dialect objects.")
      .OneOf("first_start", &S::first_start, {{"true", true}, {"false", false}},
             "false",
             "Whether the whole deployment starts for the first time. The "
             "instance then waits for its peers to register; only with dialect "
             "objects.");
  table.Section("listen")
      .Address("http", &S::http, std::nullopt,
               "Where callers and operators connect to (TCP).")
      .Address("peer", &S::peer, std::nullopt,
               "Where other instances open streams to (TCP).")
      .Address("gossip", &S::gossip, std::nullopt,
               "Where other instances send membership datagrams to (UDP).")
      .Address("ready", &S::ready, "127.0.0.1:0",
               "Where the balancer asks whether callers may come (TCP); used "
               "by the dialect \"objects\".")
      .Address("metrics", &S::metrics, "127.0.0.1:0",
               "Where metrics are served (TCP); used by the dialect "
               "\"objects\".");
  table.Section("platform")
      .OneOf("dialect", &S::dialect,
             {{"queries", PlatformDialect::kQueries},
              {"objects", PlatformDialect::kObjects}},
             "queries",
             "What the store, the searchers and the callers speak: the "
             "project's queries over key ranges, or routes of opaque requests "
             "on the users' platform.")
      .Address("endpoint", &S::platform, std::nullopt,
               "The platform's object API.")
      .Time("timeout_ms", &S::platform_timeout,
            {.minimum = 10, .maximum = kMaxTimeoutMs, .default_value = 2000},
            "Deadline of one call to the platform, besides a watch's wait.");
  table.Section("seeds").Addresses(
      "gossip", &S::seeds, "",
      "Gossip end points of instances to join when the platform cannot be "
      "asked for some.");
  table.Section("http")
      .Integer("body_bytes", &S::http_body_bytes,
               {.minimum = 256,
                .maximum = kMaxBytes,
                .default_value = 65536,
                .unit = "bytes"},
               "Largest body of a request.")
      .Integer("header_bytes", &S::http_header_bytes,
               {.minimum = 256,
                .maximum = kMaxBytes,
                .default_value = 8192,
                .unit = "bytes"},
               "Largest header of a request.")
      .Integer("connections", &S::http_connections,
               {.minimum = 1, .maximum = 100000, .default_value = 4096},
               "Connections of callers and operators at once.")
      .Time("read_timeout_ms", &S::http_read_timeout,
            {.minimum = 10, .maximum = kMaxTimeoutMs, .default_value = 5000},
            "From a request's first byte to its last.")
      .Time("idle_timeout_ms", &S::http_idle_timeout,
            {.minimum = 10, .maximum = kMaxTimeoutMs, .default_value = 60000},
            "How long a connection is kept between two requests.")
      .Integer("in_flight", &S::http_in_flight,
               {.minimum = 1, .maximum = 1000000, .default_value = 4096},
               "Queries at once; more are refused as not run.");
  table.Section("routing")
      .Time("leave_time_ms", &S::leave_time,
            {.minimum = 100, .maximum = 60000, .default_value = 3000},
            "How long a searcher may still get work after it said that it "
            "leaves. What has changed among the searchers is read several "
            "times within it; longer means fewer calls to the store.")
      .Decimal("extra_arrivals_ratio", &S::extra_arrivals_ratio, 0, 1, "0.2",
               "Bound on hedges and retries at a service, as a share of the "
               "requests for it; four fifths of it are used.")
      .Integer("extra_arrivals_allowance", &S::extra_arrivals_allowance,
               {.minimum = 1, .maximum = 100000, .default_value = 50},
               "Hedges and retries at a service beyond that share; all "
               "instances together use four fifths of it.")
      .Seconds("extra_arrivals_window_s", &S::extra_arrivals_window, 0.1, 3600,
               "10", "Any time of this length keeps these two bounds.")
      .NamePairs("regions", &S::regions, "",
                 "The region of each data centre, as DATA-CENTRE:REGION.")
      .OneOf("spill", &S::spill,
             {{"off", SpillMode::kOff},
              {"reported", SpillMode::kReported},
              {"always", SpillMode::kAlways}},
             "reported",
             "For which services it is decided when requests leave the data "
             "centre, and how many: none, those whose searchers report how "
             "long work takes, or all. Otherwise each request goes to the "
             "searcher with the least expected latency.")
      .Time("leaving_cost_ms", &S::leaving_cost,
            {.maximum = 60000, .default_value = 2},
            "Latency that a request must gain for it to leave the data "
            "centre.")
      .Time("leaving_region_cost_ms", &S::leaving_region_cost,
            {.maximum = 60000, .default_value = 10},
            "Latency that a request must gain for it to leave the region.")
      .Seconds("quota_window_s", &S::quota_window, 0, 3600, "0",
               "Any time of this length keeps the quotas of organisations, "
               "but for the overage and the allowance, most of which are "
               "used. 0: quotas are not enforced.")
      .Decimal("quota_overage", &S::quota_overage, 0, 1, "0",
               "Fraction by which a quota may be exceeded in that time.")
      .Integer("quota_allowance", &S::quota_allowance,
               {.maximum = 100000, .default_value = 0},
               "Requests of an organisation beyond that fraction.")
      .Time("recovery_time_ms", &S::recovery_time,
            {.minimum = 100, .maximum = 60000, .default_value = 5000},
            "Time after which an instance knows of a change although the "
            "store's answer that reported it was lost; longer means fewer "
            "calls to the store.")
      .Time("evacuation_time_ms", &S::evacuation_time,
            {.maximum = 60000, .default_value = 0},
            "Time in which the evacuation of a data centre takes effect. 0: "
            "evacuations are not read.");
  table.Section("log")
      .OneOf("level", &S::log_level,
             {{"debug", LogLevel::kDebug},
              {"info", LogLevel::kInfo},
              {"warning", LogLevel::kWarning},
              {"error", LogLevel::kError}},
             "info",
             "Least severe level that is logged until a configuration is in "
             "force.")
      .OneOf("format", &S::log_format,
             {{"text", LogFormat::kText}, {"json", LogFormat::kJson}}, "text",
             "Form of a log line.");
  table.Section("stop")
      .Time("notice_ms", &S::stop_notice,
            {.maximum = 300000, .default_value = 3000},
            "How long no request must have come, after readiness turned "
            "false, before listeners close; the balancer notices meanwhile.")
      .Time("grace_ms", &S::stop_grace,
            {.minimum = 1, .maximum = 3600000, .default_value = 30000},
            "With the notice, the longest time that a stop takes.")
      .Seconds("within_s", &S::stop_within, 0, 3600, "0",
               "Time from the signal to the kill, in seconds; notice and grace "
               "are shortened so that a stop ends before. 0: not limited.");
  return table;
}

// Rejects a wildcard address, since other instances receive the address and
// connect to it.
void CheckListener(const IniDocument& document,
                   const std::string& key,
                   const Endpoint& endpoint,
                   std::vector<Failure>& failures) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(endpoint.host, error);
  if (!error && address.is_unspecified()) {
    failures.push_back(
        {FailureKind::kInvalidArgument, document.Subject("listen", key),
         "expected an address that other machines can reach, got " +
             ToString(endpoint)});
  }
}

void CheckListeners(const IniDocument& document,
                    const InstanceSettings& settings,
                    std::vector<Failure>& failures) {
  CheckListener(document, "http", settings.http, failures);
  CheckListener(document, "peer", settings.peer, failures);
  CheckListener(document, "gossip", settings.gossip, failures);
  const bool same = settings.http == settings.peer && settings.http.port != 0;
  if (same && !settings.http.host.empty()) {
    failures.push_back({FailureKind::kDuplicate,
                        document.Subject("listen", "peer"),
                        "http also listens on " + ToString(settings.peer)});
  }
}

bool IsSection(const std::string& name) {
  const auto& settings = InstanceSettingTable().settings();
  return std::any_of(
      settings.begin(), settings.end(),
      [&](const auto& setting) { return setting.info.section == name; });
}

}  // namespace

const SettingTable<InstanceSettings>& InstanceSettingTable() {
  static const SettingTable<InstanceSettings> table = MakeTable();
  return table;
}

Validated<InstanceSettings> ParseInstanceSettings(std::string_view text,
                                                  const std::string& file) {
  const Validated<IniDocument> document = IniDocument::Parse(text, file);
  if (!document) {
    return document.failures();
  }
  const SettingTable<InstanceSettings>& table = InstanceSettingTable();
  InstanceSettings settings = DefaultInstanceSettings();
  std::vector<Failure> failures;
  for (const IniSection& section : document->sections()) {
    if (IsSection(section.name)) {
      table.Read(*document, section, section.name, settings, failures);
    } else {
      failures.push_back({FailureKind::kUnknownSection,
                          document->Subject(section.name),
                          "line " + std::to_string(section.line) +
                              ": expected one of " + table.SectionNames()});
    }
  }
  table.CheckRequiredKeys(*document, failures);
  CheckListeners(*document, settings, failures);
  if (!failures.empty()) {
    return failures;
  }
  return settings;
}

Validated<InstanceSettings> LoadInstanceSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return std::vector<Failure>{{FailureKind::kUnreadableFile, path,
                                 "the file cannot be opened for reading"}};
  }
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  return ParseInstanceSettings(text, path);
}

InstanceSettings DefaultInstanceSettings() {
  InstanceSettings settings;
  InstanceSettingTable().AssignDefaults(settings);
  return settings;
}

std::string PrintInstanceSettings(const InstanceSettings& settings) {
  return ToString(InstanceSettingTable().ToSections(settings));
}

}  // namespace greengage
