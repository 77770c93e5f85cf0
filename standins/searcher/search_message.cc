#include "standins/searcher/search_message.h"

#include <utility>

#include "standins/common/json.h"

namespace greengage::standins {

namespace {

constexpr uint64_t kDefaultDeadlineMs = 1000;
constexpr uint64_t kRetryAfterMs = 20;

boost::json::array FormatHits(const std::vector<Hit>& hits) {
  boost::json::array list;
  for (const Hit& hit : hits) {
    list.push_back(
        {{"key", hit.key}, {"score", hit.score}, {"text", hit.text}});
  }
  return list;
}

}  // namespace

Result<SearchRequest> ParseSearchRequest(std::string_view body, TimePoint now) {
  const Result<boost::json::object> object = ParseObject(body);
  if (!object) {
    return object.last_reason();
  }
  const boost::json::value* range_value = object->if_contains("range");
  if (range_value == nullptr) {
    return Failure{FailureKind::kMissingKey, "range", "is required"};
  }
  const Result<KeyRange> range = ParseRange(*range_value);
  if (!range) {
    return range.last_reason();
  }
  SearchRequest request;
  request.request_id = TextOr(*object, "request_id", "");
  request.sub_request_id = NumberOr(*object, "sub_request_id", 0);
  request.service = TextOr(*object, "service", "");
  request.range = *range;
  request.index_version = NumberOr(*object, "index_version", 0);
  request.idempotent = BoolOr(*object, "idempotent", true);
  request.limit = NumberOr(*object, "limit", 20);
  request.deadline = now + std::chrono::milliseconds(NumberOr(
                               *object, "deadline_ms", kDefaultDeadlineMs));
  request.text = TextOr(*object, "text", "");
  return request;
}

HttpResponse FoundResponse(const SearchRequest& request,
                           const KeyRange& range,
                           uint64_t index_version,
                           const std::vector<Hit>& hits,
                           const boost::json::object& load) {
  return JsonResponse(200, {{"request_id", request.request_id},
                            {"sub_request_id", request.sub_request_id},
                            {"range", FormatRange(range)},
                            {"index_version", index_version},
                            {"hits", FormatHits(hits)},
                            {"load", load}});
}

HttpResponse NotRunResponse(const SearchRequest& request,
                            std::string_view reason,
                            const boost::json::object& load) {
  return JsonResponse(503, {{"request_id", request.request_id},
                            {"sub_request_id", request.sub_request_id},
                            {"not_run", boost::json::string(reason)},
                            {"retry_after_ms", kRetryAfterMs},
                            {"load", load}});
}

}  // namespace greengage::standins
