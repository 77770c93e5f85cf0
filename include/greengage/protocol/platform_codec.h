// Request targets and JSON responses of the platform's object API.
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

// Request targets with percent-encoded names.
std::string ObjectTarget(const ObjectKey& key);
std::string KindTarget(const std::string& kind);

// Percent-encodes all characters other than letters, digits, '-', '.', '_' and
// '~'.
std::string PercentEncode(std::string_view text);

// Parse the bodies of responses with status 200. All fail with
// kMalformedMessage.
Result<PlatformObject> ParseObject(std::string_view body);
Result<uint64_t> ParseVersion(std::string_view body);
Result<std::vector<PlatformListing>> ParseListing(std::string_view body);

// Skips invalid entries, so that one of them does not hide the other instances.
// End points other than "http" may be missing from an entry and are then empty.
Result<std::vector<Instance>> ParseInstances(std::string_view body);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_PLATFORM_CODEC_H_
