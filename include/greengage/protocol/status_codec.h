// JSON serialization of the status of an instance.
#ifndef GREENGAGE_PROTOCOL_STATUS_CODEC_H_
#define GREENGAGE_PROTOCOL_STATUS_CODEC_H_

#include <string>
#include <string_view>

#include "greengage/state/instance_status.h"
#include "greengage/state/result.h"

namespace greengage {

// Format: {"instance", "data_centre", "state", "configuration_version",
// "platform_down", "members": [{"id", "data_centre", "state", "http"}…]}.
std::string SerializeStatus(const InstanceStatus& status);

// Parses the output of SerializeStatus() and skips members without a valid end
// point. Fails with kMalformedMessage.
Result<InstanceStatus> ParseStatus(std::string_view text);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_STATUS_CODEC_H_
