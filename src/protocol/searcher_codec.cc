#include "greengage/protocol/searcher_codec.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>

#include "protocol/hit_json.h"
#include "protocol/json_reader.h"

namespace greengage {
namespace json = boost::json;

namespace {

// Large enough for the JSON trees of typical messages and for the internal
// stack of the parser, so that they need no heap allocation.
constexpr size_t kRequestTreeBytes = size_t{4} * 1024;
constexpr size_t kAnswerTreeBytes = size_t{16} * 1024;
constexpr size_t kParserBytes = size_t{8} * 1024;

constexpr size_t kRequestMembers = 13;

// A fixed buffer for one JSON tree, meant for the stack. A larger tree also
// uses the heap.
template <size_t Size>
class TreeBuffer {
 public:
  json::storage_ptr storage() { return &resource_; }

 private:
  std::array<unsigned char, Size> buffer_;
  json::monotonic_resource resource_{buffer_.data(), buffer_.size()};
};

// Parses `text` into a tree in `storage`. Returns null if it is not one JSON
// value.
json::value ParseTree(std::string_view text, const json::storage_ptr& storage) {
  std::array<unsigned char, kParserBytes> buffer;
  json::parser parser({}, {}, buffer.data(), buffer.size());
  parser.reset(storage);
  boost::system::error_code error;
  parser.write(text.data(), text.size(), error);
  return error ? json::value() : parser.release();
}

constexpr std::pair<std::string_view, Refusal> kRefusals[] = {
    {"shed", Refusal::kShed},
    {"draining", Refusal::kDraining},
    {"version_not_held", Refusal::kVersionNotHeld},
    {"range_not_held", Refusal::kRangeNotHeld},
    {"deadline", Refusal::kDeadline},
};

Refusal ParseRefusal(std::string_view name) {
  for (const auto& [known, refusal] : kRefusals) {
    if (known == name) {
      return refusal;
    }
  }
  return Refusal::kNone;
}

void ReadLoad(const json::object& object, SubAnswer& answer) {
  const json::value* value = object.if_contains("load");
  if (!value || !value->is_object()) {
    return;
  }
  const json::object& load = value->get_object();
  SearcherLoad read;
  read.running =
      static_cast<uint32_t>(ReadUnsigned(load, "running").value_or(0));
  read.queued = static_cast<uint32_t>(ReadUnsigned(load, "queued").value_or(0));
  read.oldest_version = ReadUnsigned(load, "oldest_version").value_or(0);
  read.newest_version = ReadUnsigned(load, "newest_version").value_or(0);
  read.draining = ReadBool(load, "draining").value_or(false);
  answer.load = read;
}

bool MatchesRequest(const json::object& object, const SubRequest& request) {
  return ReadText(object, "request_id") == request.request_id &&
         ReadUnsigned(object, "sub_request_id") == request.id;
}

bool ReadAnswer(const json::object& object,
                const SubRequest& request,
                SubAnswer& answer) {
  const auto range = ReadRange(object, "range");
  const auto version = ReadUnsigned(object, "index_version");
  if (!range || !version || !request.range.Covers(*range)) {
    return false;
  }
  if (request.index_version != 0 && request.index_version != *version) {
    return false;
  }
  answer.range = *range;
  answer.index_version = *version;
  auto hits = ReadHits(object, "hits");
  if (!hits) {
    return false;
  }
  answer.hits = *std::move(hits);
  return std::all_of(
      answer.hits.begin(), answer.hits.end(),
      [&range](const Hit& hit) { return range->Contains(hit.key); });
}

}  // namespace

std::string SerializeSearch(const SubRequest& request, TimePoint now) {
  TreeBuffer<kRequestTreeBytes> buffer;
  json::object object(buffer.storage());
  object.reserve(kRequestMembers);
  object["request_id"] = request.request_id;
  object["sub_request_id"] = request.id;
  object["service"] = request.service;
  object["shard"] = request.shard;
  object["range"] = RangeToJson(request.range);
  object["index_version"] = request.index_version;
  object["configuration_version"] = request.configuration_version;
  object["rank"] = IndexOf(request.rank);
  object["idempotent"] = request.idempotent;
  object["limit"] = request.limit;
  object["deadline_ms"] =
      std::max<int64_t>(ToMilliseconds(request.deadline - now).count(), 0);
  object["text"] = request.text;
  if (request.key) {
    object["key"] = *request.key;
  }
  return json::serialize(object);
}

std::string SerializeCancel(const SubRequest& request) {
  return json::serialize(json::object{{"request_id", request.request_id},
                                      {"sub_request_id", request.id}});
}

SubAnswer FailedSubAnswer(const SubRequest& request,
                          Outcome outcome,
                          Refusal refusal) {
  SubAnswer answer;
  answer.id = request.id;
  answer.request_id = request.request_id;
  answer.searcher = request.searcher;
  answer.outcome = outcome;
  answer.refusal = refusal;
  return answer;
}

SubAnswer ParseSearchAnswer(const SubRequest& request,
                            unsigned status,
                            std::string_view body) {
  SubAnswer malformed =
      FailedSubAnswer(request, Outcome::kUnknown, Refusal::kMalformedAnswer);
  TreeBuffer<kAnswerTreeBytes> buffer;
  const json::value value = ParseTree(body, buffer.storage());
  if (!value.is_object()) {
    return malformed;
  }
  const json::object& object = value.get_object();
  if (!MatchesRequest(object, request)) {
    return malformed;
  }
  SubAnswer answer =
      FailedSubAnswer(request, Outcome::kAnswered, Refusal::kNone);
  ReadLoad(object, answer);
  if (status == 200) {
    return ReadAnswer(object, request, answer) ? answer : malformed;
  }
  answer.refusal = ParseRefusal(ReadText(object, "not_run").value_or(""));
  if (status != 503 || answer.refusal == Refusal::kNone) {
    return malformed;
  }
  answer.outcome = Outcome::kNotRun;
  answer.retry_after = std::chrono::milliseconds(
      ReadUnsigned(object, "retry_after_ms").value_or(0));
  return answer;
}

}  // namespace greengage
