#include "greengage/protocol/claim_codec.h"

#include <boost/json.hpp>

#include <optional>
#include <utility>

#include "protocol/hit_json.h"
#include "protocol/json_reader.h"

namespace greengage {
namespace json = boost::json;

namespace {

constexpr ClaimState kAllStates[] = {
    ClaimState::kClaimed, ClaimState::kAnswered, ClaimState::kNotRun};

json::object AnswerToJson(const RecordedAnswer& answer) {
  return {{"index_version", answer.index_version},
          {"range", RangeToJson(answer.range)},
          {"hits", HitsToJson(answer.hits)}};
}

std::optional<RecordedAnswer> ReadAnswer(const json::object& object) {
  const json::value* value = object.if_contains("answer");
  if (!value || !value->is_object()) {
    return std::nullopt;
  }
  const json::object& answer = value->get_object();
  const auto version = ReadUnsigned(answer, "index_version");
  const auto range = ReadRange(answer, "range");
  auto hits = ReadHits(answer, "hits");
  if (!version || !range || !hits) {
    return std::nullopt;
  }
  return RecordedAnswer{*version, *range, *std::move(hits)};
}

std::optional<ClaimState> ReadState(const json::object& object) {
  const auto name = ReadText(object, "state");
  for (const ClaimState state : kAllStates) {
    if (name == ClaimStateName(state)) {
      return state;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string SerializeClaim(const ClaimRecord& record) {
  const std::string_view state = ClaimStateName(record.state);
  json::object object{{"token", record.token},
                      {"holder", record.holder},
                      {"state", json::string_view(state.data(), state.size())}};
  std::string without_answer = json::serialize(object);
  if (!record.answer) {
    return without_answer;
  }
  object["answer"] = AnswerToJson(*record.answer);
  std::string with_answer = json::serialize(object);
  return with_answer.size() <= kMaxClaimBytes ? with_answer : without_answer;
}

Result<ClaimRecord> ParseClaim(std::string_view text) {
  const Failure malformed{FailureKind::kMalformedMessage, "claim",
                          "not a claim object"};
  boost::system::error_code error;
  const json::value value =
      json::parse(json::string_view(text.data(), text.size()), error);
  if (error || !value.is_object()) {
    return malformed;
  }
  const json::object& object = value.get_object();
  const auto token = ReadText(object, "token");
  const auto holder = ReadText(object, "holder");
  const auto state = ReadState(object);
  if (!token || !holder || !state) {
    return malformed;
  }
  return ClaimRecord{.token = std::string(*token),
                     .holder = std::string(*holder),
                     .state = *state,
                     .answer = ReadAnswer(object)};
}

}  // namespace greengage
