// Shows which instances have a configuration in force.
#ifndef GREENGAGE_TOOLS_GREENGAGECTL_ROLLOUT_REPORT_H_
#define GREENGAGE_TOOLS_GREENGAGECTL_ROLLOUT_REPORT_H_

#include <boost/json.hpp>

#include <string>

#include "greengage/coordination/configuration_rollout.h"

namespace greengage {

// A table with one line an instance.
std::string RolloutTable(const ConfigurationRollout& rollout);

// {"in_force": [...], "lacking": [...], "departed": [...]}.
boost::json::object RolloutJson(const ConfigurationRollout& rollout);

}  // namespace greengage

#endif  // GREENGAGE_TOOLS_GREENGAGECTL_ROLLOUT_REPORT_H_
