// Typed access to the members of JSON objects.
#ifndef GREENGAGE_SRC_PROTOCOL_JSON_READER_H_
#define GREENGAGE_SRC_PROTOCOL_JSON_READER_H_

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

#include "greengage/state/key_range.h"

namespace greengage {

// Return the value of the member, or nothing if it is missing or has another
// type.
std::optional<uint64_t> ReadUnsigned(const boost::json::object& object,
                                     std::string_view member);
std::optional<double> ReadDouble(const boost::json::object& object,
                                 std::string_view member);
std::optional<bool> ReadBool(const boost::json::object& object,
                             std::string_view member);
std::optional<std::string_view> ReadText(const boost::json::object& object,
                                         std::string_view member);

// Reads a range in the form [first, last], both inclusive.
std::optional<KeyRange> ReadRange(const boost::json::object& object,
                                  std::string_view member);

// Converts to the form [first, last]. `range` must not be empty.
boost::json::array RangeToJson(const KeyRange& range);

}  // namespace greengage

#endif  // GREENGAGE_SRC_PROTOCOL_JSON_READER_H_
