#include "standins/common/json.h"

#include <utility>

namespace greengage::standins {

namespace {

std::optional<uint64_t> ToUint64(const boost::json::value& value) {
  if (value.is_uint64()) {
    return value.get_uint64();
  }
  if (value.is_int64() && value.get_int64() >= 0) {
    return static_cast<uint64_t>(value.get_int64());
  }
  return std::nullopt;
}

}  // namespace

Result<boost::json::object> ParseObject(std::string_view text) {
  boost::system::error_code error;
  boost::json::value value =
      boost::json::parse({text.data(), text.size()}, error);
  if (error || !value.is_object()) {
    return Failure{FailureKind::kInvalidSyntax, "body", "not a JSON object"};
  }
  return std::move(value.get_object());
}

uint64_t NumberOr(const boost::json::object& object,
                  std::string_view name,
                  uint64_t fallback) {
  const boost::json::value* member =
      object.if_contains({name.data(), name.size()});
  return member == nullptr ? fallback : ToUint64(*member).value_or(fallback);
}

bool BoolOr(const boost::json::object& object,
            std::string_view name,
            bool fallback) {
  const boost::json::value* member =
      object.if_contains({name.data(), name.size()});
  return member != nullptr && member->is_bool() ? member->get_bool() : fallback;
}

std::string TextOr(const boost::json::object& object,
                   std::string_view name,
                   std::string_view fallback) {
  const boost::json::value* member =
      object.if_contains({name.data(), name.size()});
  if (member == nullptr || !member->is_string()) {
    return std::string(fallback);
  }
  return std::string(member->get_string());
}

Result<KeyRange> ParseRange(const boost::json::value& value) {
  const Failure invalid{FailureKind::kInvalidSyntax, "range",
                        "must be [first, last]"};
  if (!value.is_array() || value.get_array().size() != 2) {
    return invalid;
  }
  const std::optional<uint64_t> first = ToUint64(value.get_array()[0]);
  const std::optional<uint64_t> last = ToUint64(value.get_array()[1]);
  if (!first || !last || *first > *last) {
    return invalid;
  }
  return KeyRange{*first, *last + 1};
}

boost::json::array FormatRange(const KeyRange& range) {
  return {range.begin, range.end - 1};
}

HttpResponse JsonResponse(unsigned status, const boost::json::object& body) {
  HttpResponse response;
  response.status = status;
  response.body = boost::json::serialize(body);
  return response;
}

}  // namespace greengage::standins
