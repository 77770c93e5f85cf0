#include "protocol/json_reader.h"

#include <limits>

namespace greengage {
namespace json = boost::json;

namespace {

std::optional<uint64_t> AsUnsigned(const json::value& value) {
  if (value.is_uint64()) {
    return value.get_uint64();
  }
  if (value.is_int64() && value.get_int64() >= 0) {
    return static_cast<uint64_t>(value.get_int64());
  }
  return std::nullopt;
}

}  // namespace

std::optional<uint64_t> ReadUnsigned(const json::object& object,
                                     std::string_view member) {
  const json::value* value = object.if_contains(member);
  return value ? AsUnsigned(*value) : std::nullopt;
}

std::optional<double> ReadDouble(const json::object& object,
                                 std::string_view member) {
  const json::value* value = object.if_contains(member);
  if (!value || !value->is_number()) {
    return std::nullopt;
  }
  return value->to_number<double>();
}

std::optional<bool> ReadBool(const json::object& object,
                             std::string_view member) {
  const json::value* value = object.if_contains(member);
  if (!value || !value->is_bool()) {
    return std::nullopt;
  }
  return value->get_bool();
}

std::optional<std::string_view> ReadText(const json::object& object,
                                         std::string_view member) {
  const json::value* value = object.if_contains(member);
  if (!value || !value->is_string()) {
    return std::nullopt;
  }
  const json::string& text = value->get_string();
  return std::string_view{text.data(), text.size()};
}

std::optional<KeyRange> ReadRange(const json::object& object,
                                  std::string_view member) {
  const json::value* value = object.if_contains(member);
  if (!value || !value->is_array() || value->get_array().size() != 2) {
    return std::nullopt;
  }
  const std::optional<uint64_t> first = AsUnsigned(value->get_array()[0]);
  const std::optional<uint64_t> last = AsUnsigned(value->get_array()[1]);
  if (!first || !last || *last < *first ||
      *last == std::numeric_limits<uint64_t>::max()) {
    return std::nullopt;
  }
  return KeyRange{*first, *last + 1};
}

json::array RangeToJson(const KeyRange& range) {
  return json::array{range.begin, range.end - 1};
}

}  // namespace greengage
