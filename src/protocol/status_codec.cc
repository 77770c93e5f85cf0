#include "greengage/protocol/status_codec.h"

#include <boost/json.hpp>

#include <optional>

#include "protocol/json_reader.h"

namespace greengage {
namespace json = boost::json;

namespace {

constexpr InstanceState kStates[] = {
    InstanceState::kLive, InstanceState::kSuspect, InstanceState::kLeaving,
    InstanceState::kGone};

// An unknown name comes from a newer release. Such an instance counts as live.
InstanceState ParseState(std::string_view name) {
  for (const InstanceState state : kStates) {
    if (InstanceStateName(state) == name) {
      return state;
    }
  }
  return InstanceState::kLive;
}

std::optional<Instance> ReadMember(const json::value& value) {
  if (!value.is_object()) {
    return std::nullopt;
  }
  const json::object& object = value.get_object();
  const Result<Endpoint> http =
      ParseEndpoint(ReadText(object, "http").value_or(""));
  if (!http) {
    return std::nullopt;
  }
  Instance member;
  member.id = ReadText(object, "id").value_or("");
  member.data_centre = ReadText(object, "data_centre").value_or("");
  member.state = ParseState(ReadText(object, "state").value_or(""));
  member.http = *http;
  return member;
}

}  // namespace

std::string SerializeStatus(const InstanceStatus& status) {
  json::array members;
  for (const Instance& member : status.members) {
    members.push_back({{"id", member.id},
                       {"data_centre", member.data_centre},
                       {"state", InstanceStateName(member.state)},
                       {"http", ToString(member.http)}});
  }
  return json::serialize(
      json::object{{"instance", status.id},
                   {"data_centre", status.data_centre},
                   {"state", InstanceStateName(status.state)},
                   {"configuration_version", status.configuration_version},
                   {"platform_down", status.platform_down},
                   {"members", std::move(members)}});
}

Result<InstanceStatus> ParseStatus(std::string_view text) {
  const Failure failure{
      FailureKind::kMalformedMessage, "status",
      "expected {\"instance\", \"configuration_version\", ...}"};
  boost::system::error_code error;
  const json::value value =
      json::parse(json::string_view(text.data(), text.size()), error);
  if (error || !value.is_object()) {
    return failure;
  }
  const json::object& object = value.get_object();
  const auto id = ReadText(object, "instance");
  const auto version = ReadUnsigned(object, "configuration_version");
  if (!id || !version) {
    return failure;
  }
  InstanceStatus status;
  status.id = *id;
  status.data_centre = ReadText(object, "data_centre").value_or("");
  status.state = ParseState(ReadText(object, "state").value_or(""));
  status.configuration_version = *version;
  status.platform_down = ReadBool(object, "platform_down").value_or(false);
  const json::value* members = object.if_contains("members");
  if (members != nullptr && members->is_array()) {
    for (const json::value& member : members->get_array()) {
      if (const auto parsed = ReadMember(member)) {
        status.members.push_back(*parsed);
      }
    }
  }
  return status;
}

}  // namespace greengage
