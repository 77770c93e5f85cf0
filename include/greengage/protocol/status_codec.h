// The JSON of an instance's status, as instances serve and operators read it.
#ifndef GREENGAGE_PROTOCOL_STATUS_CODEC_H_
#define GREENGAGE_PROTOCOL_STATUS_CODEC_H_

#include <string>
#include <string_view>

#include "greengage/state/instance_status.h"
#include "greengage/state/result.h"

namespace greengage {

// {"instance", "data_centre", "state", "configuration_version",
// "platform_down", "members": [{"id", "data_centre", "state", "http"}…]}.
std::string SerializeStatus(const InstanceStatus& status);

// Reads what SerializeStatus() writes; members without a valid end point are
// left out. Fails with kMalformedMessage.
Result<InstanceStatus> ParseStatus(std::string_view text);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_STATUS_CODEC_H_
