// Reports in which instances a configuration is active.
#ifndef GREENGAGE_TOOLS_GREENGAGECTL_ROLLOUT_REPORT_H_
#define GREENGAGE_TOOLS_GREENGAGECTL_ROLLOUT_REPORT_H_

#include <boost/json.hpp>

#include <string>

#include "greengage/coordination/configuration_rollout.h"

namespace greengage {

// Returns a table with one line per instance.
std::string RolloutTable(const ConfigurationRollout& rollout);

// Returns {"in_force": [...], "lacking": [...], "departed": [...]}.
boost::json::object RolloutJson(const ConfigurationRollout& rollout);

}  // namespace greengage

#endif  // GREENGAGE_TOOLS_GREENGAGECTL_ROLLOUT_REPORT_H_
