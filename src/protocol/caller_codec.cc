#include "greengage/protocol/caller_codec.h"

#include <boost/json.hpp>

#include <algorithm>

#include "greengage/coordination/claim.h"
#include "protocol/hit_json.h"
#include "protocol/json_reader.h"

namespace greengage {
namespace json = boost::json;

namespace {

constexpr std::string_view kRequestIdCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";

// Reads the members of a query one by one and keeps the first failure.
class QueryReader {
 public:
  QueryReader(const json::object& object, const Configuration& configuration)
      : object_(object), configuration_(configuration) {}

  void ReadService() {
    const auto service = Text("service", true);
    if (!service) {
      return;
    }
    const auto found = configuration_.services.find(std::string(*service));
    if (found == configuration_.services.end()) {
      Fail(FailureKind::kNotFound, "service",
           "no service \"" + std::string(*service) + "\" is configured");
      return;
    }
    query_.service = found->first;
    service_ = &found->second;
  }

  void ReadQueryText() {
    const auto text = Text("text", false);
    if (text && text->size() > kMaxQueryTextBytes) {
      Fail(FailureKind::kOutOfRange, "text",
           "at most " + std::to_string(kMaxQueryTextBytes) + " bytes");
    } else if (text) {
      query_.text = std::string(*text);
    }
  }

  void ReadRank() {
    const auto name = Text("rank", false);
    if (!name) {
      return;
    }
    std::string allowed;
    for (const Rank rank : kAllRanks) {
      const std::string& rank_name = configuration_.ranks[IndexOf(rank)].name;
      if (rank_name == *name) {
        query_.rank = rank;
        return;
      }
      allowed += (allowed.empty() ? "" : ", ") + rank_name;
    }
    Fail(FailureKind::kInvalidArgument, "rank", "want one of " + allowed);
  }

  void ReadLimit() {
    const auto limit = Unsigned("limit", 1, kMaxHits);
    query_.limit = limit ? static_cast<uint32_t>(*limit) : query_.limit;
  }

  void ReadDeadline(TimePoint now) {
    const auto requested =
        Unsigned("deadline_ms", 1, static_cast<uint64_t>(kMaxDeadline.count()));
    const std::chrono::milliseconds configured =
        service_ ? service_->deadline : kMaxDeadline;
    query_.deadline =
        now + (requested ? std::chrono::milliseconds(*requested) : configured);
  }

  void ReadIdempotence() {
    if (!object_.contains("idempotent")) {
      return;
    }
    const auto idempotent = ReadBool(object_, "idempotent");
    if (!idempotent) {
      Fail(FailureKind::kInvalidArgument, "idempotent", "want true or false");
      return;
    }
    query_.idempotent = *idempotent;
  }

  void ReadKey() {
    if (service_) {
      query_.key = Unsigned("key", 0, service_->key_space - 1);
    }
    if (!query_.idempotent && !query_.key) {
      Fail(FailureKind::kMissingKey, "key",
           "a non-idempotent request names its key");
    }
  }

  void ReadRequestId(const std::function<std::string()>& make_request_id) {
    const auto id = Text("request_id", !query_.idempotent);
    if (!id) {
      query_.request_id = make_request_id();
      return;
    }
    const bool allowed =
        !id->empty() && id->size() <= kMaxRequestIdBytes &&
        id->find_first_not_of(kRequestIdCharacters) == std::string_view::npos;
    if (!allowed) {
      Fail(FailureKind::kInvalidArgument, "request_id",
           "want 1 to 128 characters out of A-Z a-z 0-9 . _ -");
      return;
    }
    const Result<WallTime> time = RequestIdTime(*id);
    if (!query_.idempotent && !time) {
      Fail(FailureKind::kInvalidArgument, "request_id",
           "a non-idempotent request's id has the form MILLISECONDS-SUFFIX");
      return;
    }
    query_.request_id = std::string(*id);
  }

  Result<Query> Take() {
    if (failure_) {
      return *failure_;
    }
    return std::move(query_);
  }

 private:
  void Fail(FailureKind kind, std::string member, std::string detail) {
    if (!failure_) {
      failure_ = Failure{kind, std::move(member), std::move(detail)};
    }
  }

  std::optional<std::string_view> Text(std::string_view member, bool required) {
    if (!object_.contains(member)) {
      if (required) {
        Fail(FailureKind::kMissingKey, std::string(member), "is required");
      }
      return std::nullopt;
    }
    const auto text = ReadText(object_, member);
    if (!text) {
      Fail(FailureKind::kInvalidArgument, std::string(member), "want a string");
    }
    return text;
  }

  std::optional<uint64_t> Unsigned(std::string_view member,
                                   uint64_t minimum,
                                   uint64_t maximum) {
    if (!object_.contains(member)) {
      return std::nullopt;
    }
    const auto value = ReadUnsigned(object_, member);
    if (!value || *value < minimum || *value > maximum) {
      Fail(FailureKind::kOutOfRange, std::string(member),
           "want a whole number from " + std::to_string(minimum) + " to " +
               std::to_string(maximum));
      return std::nullopt;
    }
    return value;
  }

  const json::object& object_;
  const Configuration& configuration_;
  const ServiceConfiguration* service_ = nullptr;
  Query query_;
  std::optional<Failure> failure_;
};

}  // namespace

Result<Query> ParseQuery(std::string_view body,
                         const Configuration& configuration,
                         TimePoint now,
                         const std::function<std::string()>& make_request_id) {
  boost::system::error_code error;
  const json::value value =
      json::parse(json::string_view(body.data(), body.size()), error);
  if (error || !value.is_object()) {
    return Failure{FailureKind::kInvalidSyntax, "body",
                   error ? error.message() : "want a JSON object"};
  }
  QueryReader reader(value.get_object(), configuration);
  reader.ReadService();
  reader.ReadQueryText();
  reader.ReadRank();
  reader.ReadLimit();
  reader.ReadDeadline(now);
  reader.ReadIdempotence();
  reader.ReadKey();
  reader.ReadRequestId(make_request_id);
  return reader.Take();
}

std::string SerializeAnswer(const Answer& answer,
                            const Configuration& configuration) {
  json::object object;
  object["request_id"] = answer.request_id;
  object["service"] = answer.service;
  object["rank"] = configuration.ranks[IndexOf(answer.rank)].name;
  object["outcome"] = OutcomeName(answer.outcome);
  object["configuration_version"] = answer.configuration_version;
  if (answer.outcome != Outcome::kAnswered) {
    object["reason"] = RefusalName(answer.refusal);
    object["retry_after_ms"] = ToMilliseconds(answer.retry_after).count();
    return json::serialize(object);
  }
  object["index_version"] = answer.index_version;
  object["whole"] = answer.whole();
  object["hits"] = HitsToJson(answer.hits);
  json::array& covered = object["covered"].emplace_array();
  for (const KeyRange& range : answer.covered) {
    covered.push_back(RangeToJson(range));
  }
  json::array& missing = object["missing"].emplace_array();
  for (const MissingRange& range : answer.missing) {
    missing.push_back({{"shard", range.shard},
                       {"range", RangeToJson(range.range)},
                       {"reason", RefusalName(range.refusal)}});
  }
  return json::serialize(object);
}

std::string SerializeFailure(const Failure& failure) {
  return json::serialize(json::object{{"error",
                                       {{"kind", FailureKindName(failure.kind)},
                                        {"subject", failure.subject},
                                        {"detail", failure.detail}}}});
}

}  // namespace greengage
