#include "protocol/hit_json.h"

#include <string>

#include "protocol/json_reader.h"

namespace greengage {
namespace json = boost::json;

std::optional<std::vector<Hit>> ReadHits(const json::object& object,
                                         std::string_view member) {
  const json::value* value =
      object.if_contains(json::string_view(member.data(), member.size()));
  if (!value || !value->is_array()) {
    return std::nullopt;
  }
  std::vector<Hit> hits;
  hits.reserve(value->get_array().size());
  for (const json::value& element : value->get_array()) {
    if (!element.is_object()) {
      return std::nullopt;
    }
    const json::object& hit = element.get_object();
    const auto key = ReadUnsigned(hit, "key");
    const auto score = ReadDouble(hit, "score");
    const auto text = ReadText(hit, "text");
    if (!key || !score || !text) {
      return std::nullopt;
    }
    hits.push_back(Hit{*key, *score, std::string(*text)});
  }
  return hits;
}

json::array HitsToJson(const std::vector<Hit>& hits) {
  json::array list;
  list.reserve(hits.size());
  for (const Hit& hit : hits) {
    list.push_back(
        {{"key", hit.key}, {"score", hit.score}, {"text", hit.text}});
  }
  return list;
}

}  // namespace greengage
