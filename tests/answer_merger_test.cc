#include "greengage/coordination/answer_merger.h"

#include "greengage/coordination/snapshot.h"

#include <criterion/criterion.h>

namespace greengage {

namespace {

SubRequest MakeRequest(uint64_t id, KeyRange range, uint64_t version) {
  SubRequest request;
  request.id = id;
  request.request_id = "r";
  request.range = range;
  request.index_version = version;
  return request;
}

SubAnswer AnswerTo(const SubRequest& request, std::vector<Hit> hits = {}) {
  SubAnswer answer;
  answer.id = request.id;
  answer.request_id = request.request_id;
  answer.outcome = Outcome::kAnswered;
  answer.range = request.range;
  answer.index_version = request.index_version == 0 ? 1 : request.index_version;
  answer.hits = std::move(hits);
  return answer;
}

SearcherView ViewOfVersions(uint64_t oldest, uint64_t newest) {
  SearcherView view;
  view.oldest_version = oldest;
  view.newest_version = newest;
  return view;
}

}  // namespace

Test(AnswerMerger, KeepsTheBestHitsInOrder) {
  AnswerMerger merger(7, 3);
  const SubRequest left = MakeRequest(1, {0, 10}, 7);
  const SubRequest right = MakeRequest(2, {10, 20}, 7);
  cr_assert(merger.Accept(left, AnswerTo(left, {{1, 0.5, ""}, {2, 0.9, ""}})) ==
            MergeResult::kAccepted);
  cr_assert(
      merger.Accept(right, AnswerTo(right, {{12, 0.5, ""}, {11, 0.7, ""}})) ==
      MergeResult::kAccepted);
  const std::vector<Hit> hits = merger.TakeHits();
  cr_assert_eq(hits.size(), 3U);
  cr_assert_eq(hits[0].key, 2U);
  cr_assert_eq(hits[1].key, 11U);
  cr_assert_eq(hits[2].key, 1U);
  cr_assert_eq(merger.coverage().ranges().size(), 1U);
}

Test(AnswerMerger, RejectsMismatchedAnswers) {
  AnswerMerger merger(7, 3);
  const SubRequest request = MakeRequest(1, {0, 10}, 7);
  SubAnswer wrong_request = AnswerTo(request);
  wrong_request.request_id = "another";
  cr_assert(merger.Accept(request, wrong_request) ==
            MergeResult::kWrongRequest);
  SubAnswer newer = AnswerTo(request);
  newer.index_version = 8;
  cr_assert(merger.Accept(request, newer) == MergeResult::kWrongVersion);
  SubAnswer narrower = AnswerTo(request);
  narrower.range.end = 9;
  cr_assert(merger.Accept(request, narrower) == MergeResult::kWrongRange);
  cr_assert(merger.Accept(request, AnswerTo(request, {{10, 1, ""}})) ==
            MergeResult::kWrongRange);
  cr_assert(merger.coverage().ranges().empty());
  cr_assert(merger.Accept(request, AnswerTo(request)) ==
            MergeResult::kAccepted);
  cr_assert(merger.Accept(request, AnswerTo(request)) ==
            MergeResult::kDuplicate);
}

Test(AnswerMerger, FirstAnswerPinsUnknownVersion) {
  AnswerMerger merger(0, 3);
  const SubRequest left = MakeRequest(1, {0, 10}, 0);
  const SubRequest right = MakeRequest(2, {10, 20}, 0);
  cr_assert(merger.Accept(left, AnswerTo(left)) == MergeResult::kAccepted);
  SubAnswer mismatched = AnswerTo(right);
  mismatched.index_version = 2;
  cr_assert(merger.Accept(right, mismatched) == MergeResult::kWrongVersion);
}

Test(Coverage, MergesAdjacentRangesAndRejectsOverlaps) {
  Coverage coverage;
  cr_assert(coverage.Add({0, 10}));
  cr_assert(coverage.Add({20, 30}));
  cr_assert(!coverage.Add({5, 15}));
  cr_assert(!coverage.Add({25, 26}));
  cr_assert(!coverage.Add({12, 12}));
  cr_assert(!coverage.Covers({0, 30}));
  cr_assert(coverage.Add({10, 20}));
  cr_assert_eq(coverage.ranges().size(), 1U);
  cr_assert(coverage.Covers({0, 30}));
}

Test(Snapshot, ChoosesHighestVersionServedByAllShards) {
  ServiceConfiguration service;
  service.shards.resize(2);
  service.shards[0].name = "a";
  service.shards[1].name = "b";
  std::vector<SearcherView> a{ViewOfVersions(1, 2), ViewOfVersions(2, 3)};
  std::vector<SearcherView> b{ViewOfVersions(1, 2)};
  const auto views = [&](const ShardConfiguration& shard) {
    return shard.name == "a" ? a : b;
  };
  cr_assert_eq(ChooseIndexVersion(service, views), 2U);
  b = {ViewOfVersions(3, 3)};
  cr_assert_eq(ChooseIndexVersion(service, views), 3U);
  b = {ViewOfVersions(9, 9)};
  cr_assert_eq(ChooseIndexVersion(service, views), 9U);
  a = b = {SearcherView{}};
  cr_assert_eq(ChooseIndexVersion(service, views), 0U);
}

}  // namespace greengage
