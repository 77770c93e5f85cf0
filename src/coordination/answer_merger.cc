#include "greengage/coordination/answer_merger.h"

#include <algorithm>
#include <utility>

namespace greengage {

namespace {

bool IsBetter(const Hit& a, const Hit& b) {
  return a.score != b.score ? a.score > b.score : a.key < b.key;
}

}  // namespace

AnswerMerger::AnswerMerger(uint64_t index_version, uint32_t limit)
    : index_version_(index_version), limit_(limit) {}

MergeResult AnswerMerger::Accept(const SubRequest& request, SubAnswer answer) {
  const MergeResult result = Validate(request, answer);
  if (result != MergeResult::kAccepted) {
    return result;
  }
  if (!coverage_.Add(answer.range)) {
    return MergeResult::kDuplicate;
  }
  index_version_ = answer.index_version;
  for (Hit& hit : answer.hits) {
    Insert(std::move(hit));
  }
  return MergeResult::kAccepted;
}

std::vector<Hit> AnswerMerger::TakeHits() {
  std::sort_heap(hits_.begin(), hits_.end(), IsBetter);
  return std::move(hits_);
}

MergeResult AnswerMerger::Validate(const SubRequest& request,
                                   const SubAnswer& answer) const {
  if (answer.id != request.id || answer.request_id != request.request_id) {
    return MergeResult::kWrongRequest;
  }
  const bool not_requested = request.index_version != 0 &&
                             answer.index_version != request.index_version;
  const bool not_pinned =
      index_version_ != 0 && answer.index_version != index_version_;
  if (not_requested || not_pinned || answer.index_version == 0) {
    return MergeResult::kWrongVersion;
  }
  if (answer.range != request.range) {
    return MergeResult::kWrongRange;
  }
  const bool all_inside = std::all_of(
      answer.hits.begin(), answer.hits.end(),
      [&](const Hit& hit) { return request.range.Contains(hit.key); });
  return all_inside ? MergeResult::kAccepted : MergeResult::kWrongRange;
}

void AnswerMerger::Insert(Hit hit) {
  if (limit_ == 0) {
    return;
  }
  if (hits_.size() == limit_) {
    if (!IsBetter(hit, hits_.front())) {
      return;
    }
    std::pop_heap(hits_.begin(), hits_.end(), IsBetter);
    hits_.pop_back();
  }
  hits_.push_back(std::move(hit));
  std::push_heap(hits_.begin(), hits_.end(), IsBetter);
}

}  // namespace greengage
