// Blocking calls to the platform and to instances.
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

// Sends GET `target` to all `endpoints`, concurrently in batches; `timeout` is
// that of one batch. Returns, in the order of `endpoints`, the body of each
// response with status 200 or a failure.
std::vector<Result<std::string>> FetchAll(
    const std::vector<Endpoint>& endpoints,
    const std::string& target,
    std::chrono::milliseconds timeout);

// Returns a rollout that tracks `version` at the instances named on the command
// line or, without any, at those that the platform lists. Fails with
// kMissingKey if the command line has neither instances nor a platform.
Result<ConfigurationRollout> StartRollout(const CommandLine& line,
                                          uint64_t version);

// Polls the status of each endpoint of `rollout` once.
void PollRound(ConfigurationRollout& rollout,
               std::chrono::milliseconds timeout);

// Polls repeatedly until a round discovers no new instances, for at most 3
// rounds.
void DiscoverInstances(ConfigurationRollout& rollout,
                       std::chrono::milliseconds timeout);

}  // namespace greengage

#endif  // GREENGAGE_TOOLS_GREENGAGECTL_CALLS_H_
