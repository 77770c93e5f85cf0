// Targets and JSON answers of the platform's object API.
#ifndef GREENGAGE_PROTOCOL_PLATFORM_CODEC_H_
#define GREENGAGE_PROTOCOL_PLATFORM_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/state/instance.h"
#include "greengage/state/platform_object.h"
#include "greengage/state/result.h"

namespace greengage {

// Paths with every character escaped that has a meaning in them.
std::string ObjectTarget(const ObjectKey& key);
std::string KindTarget(const std::string& kind);
std::string PercentEncode(std::string_view text);

// Bodies of answers with status 200. All fail with kMalformedMessage.
Result<PlatformObject> ParseObject(std::string_view body);
Result<uint64_t> ParseVersion(std::string_view body);
Result<std::vector<PlatformListing>> ParseListing(std::string_view body);

// Instances whose entries are not valid are left out, so that one wrong entry
// does not hide the others. The gossip end point stays empty.
Result<std::vector<Instance>> ParseInstances(std::string_view body);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_PLATFORM_CODEC_H_
