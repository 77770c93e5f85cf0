#include "greengage/protocol/platform_codec.h"

#include <boost/json.hpp>

#include <chrono>
#include <optional>
#include <utility>

#include "protocol/json_reader.h"

namespace greengage {
namespace json = boost::json;

namespace {

Failure Malformed(const char* wanted) {
  return {FailureKind::kMalformedMessage, "platform", wanted};
}

std::optional<json::object> ParseJsonObject(std::string_view body) {
  boost::system::error_code error;
  json::value value =
      json::parse(json::string_view(body.data(), body.size()), error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

WallTime ReadModified(const json::object& object) {
  const auto milliseconds = ReadUnsigned(object, "modified_ms").value_or(0);
  return FromEpoch(
      std::chrono::milliseconds(static_cast<int64_t>(milliseconds)));
}

// The objects in the array `member`; nothing if there is no such array.
std::optional<std::vector<json::object>> ReadObjects(std::string_view body,
                                                     std::string_view member) {
  const std::optional<json::object> whole = ParseJsonObject(body);
  const json::value* array = whole ? whole->if_contains(member) : nullptr;
  if (array == nullptr || !array->is_array()) {
    return std::nullopt;
  }
  std::vector<json::object> objects;
  for (const json::value& element : array->get_array()) {
    if (element.is_object()) {
      objects.push_back(element.get_object());
    }
  }
  return objects;
}

std::optional<Endpoint> ReadEndpoint(const json::object& object,
                                     std::string_view member) {
  const Result<Endpoint> endpoint =
      ParseEndpoint(ReadText(object, member).value_or(""));
  return endpoint ? std::optional(*endpoint) : std::nullopt;
}

std::optional<Instance> ReadInstance(const json::object& object) {
  const auto id = ReadText(object, "id");
  // Upstreams are listed too; they have neither of these.
  const auto gossip = ReadEndpoint(object, "gossip");
  const auto peer = ReadEndpoint(object, "peer");
  const auto http = ReadEndpoint(object, "http");
  if (!id || !http) {
    return std::nullopt;
  }
  Instance instance;
  instance.id = *id;
  instance.data_centre = ReadText(object, "data_centre").value_or("");
  instance.gossip = gossip.value_or(Endpoint{});
  instance.peer = peer.value_or(Endpoint{});
  instance.http = *http;
  instance.state = ReadText(object, "state") == "leaving"
                       ? InstanceState::kLeaving
                       : InstanceState::kLive;
  return instance;
}

}  // namespace

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kPlain =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string escaped;
  for (const char character : text) {
    if (kPlain.find(character) != std::string_view::npos) {
      escaped += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    escaped += '%';
    escaped += kDigits[byte >> 4];
    escaped += kDigits[byte & 15];
  }
  return escaped;
}

std::string ObjectTarget(const ObjectKey& key) {
  return KindTarget(key.kind) + "/" + PercentEncode(key.name);
}

std::string KindTarget(const std::string& kind) {
  return "/objects/" + PercentEncode(kind);
}

Result<PlatformObject> ParseObject(std::string_view body) {
  const std::optional<json::object> object = ParseJsonObject(body);
  const auto version = object ? ReadUnsigned(*object, "version") : std::nullopt;
  const auto value = object ? ReadText(*object, "value") : std::nullopt;
  if (!version || !value) {
    return Malformed("want {\"version\", \"value\"}");
  }
  PlatformObject parsed;
  parsed.key.kind = ReadText(*object, "kind").value_or("");
  parsed.key.name = ReadText(*object, "name").value_or("");
  parsed.version = *version;
  parsed.value = *value;
  parsed.modified = ReadModified(*object);
  return parsed;
}

Result<uint64_t> ParseVersion(std::string_view body) {
  const std::optional<json::object> object = ParseJsonObject(body);
  const auto version = object ? ReadUnsigned(*object, "version") : std::nullopt;
  if (!version) {
    return Malformed("want {\"version\"}");
  }
  return *version;
}

Result<std::vector<PlatformListing>> ParseListing(std::string_view body) {
  const auto objects = ReadObjects(body, "objects");
  if (!objects) {
    return Malformed("want {\"objects\": [...]}");
  }
  std::vector<PlatformListing> listing;
  for (const json::object& object : *objects) {
    const auto name = ReadText(object, "name");
    const auto version = ReadUnsigned(object, "version");
    if (!name || !version) {
      return Malformed("want \"name\" and \"version\" of each object");
    }
    listing.push_back({std::string(*name), *version, ReadModified(object)});
  }
  return listing;
}

Result<std::vector<Instance>> ParseInstances(std::string_view body) {
  const auto objects = ReadObjects(body, "instances");
  if (!objects) {
    return Malformed("want {\"instances\": [...]}");
  }
  std::vector<Instance> instances;
  for (const json::object& object : *objects) {
    if (std::optional<Instance> instance = ReadInstance(object)) {
      instances.push_back(*std::move(instance));
    }
  }
  return instances;
}

}  // namespace greengage
