// Calls to the platform and to instances that wait for their answers.
#ifndef GREENGAGE_TOOLS_GREENGAGECTL_CALLS_H_
#define GREENGAGE_TOOLS_GREENGAGECTL_CALLS_H_

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "greengage/coordination/configuration_rollout.h"
#include "greengage/state/event_log.h"
#include "greengage/state/platform_object.h"
#include "greengage/state/result.h"
#include "tools/greengagectl/command_line.h"

namespace greengage {

Result<PlatformObject> ReadConfigurationObject(
    const Endpoint& platform,
    std::chrono::milliseconds timeout);

PlatformWrite WriteConfigurationObject(const Endpoint& platform,
                                       uint64_t expected,
                                       const std::string& value,
                                       std::chrono::milliseconds timeout);

// The answers with status 200 of many instances to GET `target`, asked at the
// same time, in the order of `endpoints`.
std::vector<Result<std::string>> FetchAll(
    const std::vector<Endpoint>& endpoints,
    const std::string& target,
    std::chrono::milliseconds timeout);

// Follows `version` at the instances named on the command line, or at those
// that the platform lists. Fails with kMissingKey if neither is given.
Result<ConfigurationRollout> StartRollout(const CommandLine& line,
                                          uint64_t version);

// Asks once all that `rollout` wants to know.
void RunRound(ConfigurationRollout& rollout, std::chrono::milliseconds timeout);

// Asks until no round names new instances.
void FindMembers(ConfigurationRollout& rollout,
                 std::chrono::milliseconds timeout);

}  // namespace greengage

#endif  // GREENGAGE_TOOLS_GREENGAGECTL_CALLS_H_
