#include "tests/harness/naive_query.h"

#include <algorithm>
#include <utility>

#include "standins/searcher/records.h"

namespace greengage {

namespace json = boost::json;

std::vector<Hit> ExpectedHits(uint64_t index_version,
                              const std::vector<KeyRange>& covered,
                              const std::string& text,
                              size_t limit) {
  std::vector<Hit> hits;
  for (const KeyRange& range : covered) {
    for (Hit& hit :
         standins::MatchingRecords(kService, index_version, range, text)) {
      hits.push_back(std::move(hit));
    }
  }
  return standins::TopHits(std::move(hits), limit);
}

std::vector<Hit> HitsOf(const JsonReply& reply) {
  std::vector<Hit> hits;
  const json::value* list = reply.body.if_contains("hits");
  if (list == nullptr || !list->is_array()) {
    return hits;
  }
  for (const json::value& item : list->get_array()) {
    const json::object& hit = item.as_object();
    hits.push_back({.key = hit.at("key").to_number<uint64_t>(),
                    .score = hit.at("score").to_number<double>(),
                    .text = std::string(hit.at("text").as_string())});
  }
  return hits;
}

std::vector<KeyRange> CoveredBy(const JsonReply& reply) {
  std::vector<KeyRange> ranges;
  const json::value* list = reply.body.if_contains("covered");
  if (list == nullptr || !list->is_array()) {
    return ranges;
  }
  for (const json::value& item : list->get_array()) {
    const json::array& range = item.as_array();
    ranges.push_back({range.at(0).to_number<uint64_t>(),
                      range.at(1).to_number<uint64_t>() + 1});
  }
  return ranges;
}

bool SameHits(const std::vector<Hit>& left, const std::vector<Hit>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const Hit& a, const Hit& b) {
                      return a.key == b.key && a.score == b.score &&
                             a.text == b.text;
                    });
}

bool IsTruthful(const JsonReply& reply, const std::string& text, size_t limit) {
  return SameHits(HitsOf(reply), ExpectedHits(reply.Number("index_version"),
                                              CoveredBy(reply), text, limit));
}

std::string SearchBody(size_t shard,
                       const std::string& request_id,
                       const std::string& text,
                       size_t limit,
                       bool idempotent) {
  const uint64_t first = shard * kKeysPerShard;
  return json::serialize(
      json::object{{"request_id", request_id},
                   {"sub_request_id", shard + 1},
                   {"service", kService},
                   {"range", json::array{first, first + kKeysPerShard - 1}},
                   {"index_version", 0},
                   {"idempotent", idempotent},
                   {"limit", limit},
                   {"text", text}});
}

NaiveAnswer NaiveQuery(Deployment& deployment,
                       size_t shards,
                       const std::string& request_id,
                       const std::string& text,
                       size_t limit) {
  NaiveAnswer answer;
  for (size_t shard = 0; shard < shards; ++shard) {
    const JsonReply reply =
        Call(deployment.searcher(shard, 0).endpoint(), "POST", "/search",
             SearchBody(shard, request_id, text, limit, true));
    if (reply.status != 200) {
      continue;
    }
    ++answer.answered;
    answer.index_versions.insert(reply.Number("index_version"));
    for (Hit& hit : HitsOf(reply)) {
      answer.hits.push_back(std::move(hit));
    }
  }
  answer.hits = standins::TopHits(std::move(answer.hits), limit);
  return answer;
}

}  // namespace greengage
