// Helpers of the stand-ins to parse and build JSON messages.
#ifndef STANDINS_COMMON_JSON_H_
#define STANDINS_COMMON_JSON_H_

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

#include "greengage/state/key_range.h"
#include "greengage/state/result.h"
#include "greengage/transport/http_message.h"

namespace greengage::standins {

// Parses `text` as one JSON object. Fails with kInvalidSyntax.
Result<boost::json::object> ParseObject(std::string_view text);

// Return the member `name`, or `fallback` if it is absent or of another type.
uint64_t NumberOr(const boost::json::object& object,
                  std::string_view name,
                  uint64_t fallback);
bool BoolOr(const boost::json::object& object,
            std::string_view name,
            bool fallback);
std::string TextOr(const boost::json::object& object,
                   std::string_view name,
                   std::string_view fallback);

// Parses [first, last], both inclusive. Fails with kInvalidSyntax.
Result<KeyRange> ParseRange(const boost::json::value& value);

// Formats `range` as [first, last], both inclusive.
boost::json::array FormatRange(const KeyRange& range);

// Returns a response with `body` serialized as JSON.
HttpResponse JsonResponse(unsigned status, const boost::json::object& body);

}  // namespace greengage::standins

#endif  // STANDINS_COMMON_JSON_H_
