#include "tools/greengagectl/rollout_report.h"

#include <iomanip>
#include <sstream>
#include <vector>

namespace greengage {

namespace {

std::string StateText(const RolloutEntry& entry) {
  std::string state(InstanceStateName(entry.state));
  return entry.reachable ? state : state + ", unreachable";
}

void AppendRows(const std::vector<RolloutEntry>& entries,
                const char* rollout_status,
                std::ostream& table) {
  for (const RolloutEntry& entry : entries) {
    table << std::left << std::setw(20) << (entry.id.empty() ? "?" : entry.id)
          << std::setw(16) << entry.data_centre << std::setw(24)
          << ToString(entry.http) << std::setw(24) << StateText(entry)
          << std::setw(10) << entry.configuration_version << rollout_status
          << '\n';
  }
}

boost::json::array ToJson(const std::vector<RolloutEntry>& entries) {
  boost::json::array array;
  for (const RolloutEntry& entry : entries) {
    array.push_back({{"instance", entry.id},
                     {"data_centre", entry.data_centre},
                     {"http", ToString(entry.http)},
                     {"state", InstanceStateName(entry.state)},
                     {"reachable", entry.reachable},
                     {"configuration_version", entry.configuration_version}});
  }
  return array;
}

}  // namespace

std::string RolloutTable(const ConfigurationRollout& rollout) {
  std::ostringstream table;
  table << std::left << std::setw(20) << "INSTANCE" << std::setw(16)
        << "DATA CENTRE" << std::setw(24) << "HTTP" << std::setw(24) << "STATE"
        << std::setw(10) << "VERSION"
        << "CONFIGURATION\n";
  AppendRows(rollout.UpToDate(), "in force", table);
  AppendRows(rollout.Pending(), "lacking", table);
  AppendRows(rollout.Departed(), "not waited for", table);
  return table.str();
}

boost::json::object RolloutJson(const ConfigurationRollout& rollout) {
  return {{"in_force", ToJson(rollout.UpToDate())},
          {"lacking", ToJson(rollout.Pending())},
          {"departed", ToJson(rollout.Departed())}};
}

}  // namespace greengage
