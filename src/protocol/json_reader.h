// Typed access to members of JSON objects.
#ifndef GREENGAGE_SRC_PROTOCOL_JSON_READER_H_
#define GREENGAGE_SRC_PROTOCOL_JSON_READER_H_

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

#include "greengage/state/key_range.h"

namespace greengage {

// A member's value if it is there and has the type; nothing otherwise.
std::optional<uint64_t> ReadUnsigned(const boost::json::object& object,
                                     std::string_view member);
std::optional<double> ReadDouble(const boost::json::object& object,
                                 std::string_view member);
std::optional<bool> ReadBool(const boost::json::object& object,
                             std::string_view member);
std::optional<std::string_view> ReadText(const boost::json::object& object,
                                         std::string_view member);

// A range written as [first, last], both included.
std::optional<KeyRange> ReadRange(const boost::json::object& object,
                                  std::string_view member);

// The range in that form; it must not be empty.
boost::json::array RangeToJson(const KeyRange& range);

}  // namespace greengage

#endif  // GREENGAGE_SRC_PROTOCOL_JSON_READER_H_
