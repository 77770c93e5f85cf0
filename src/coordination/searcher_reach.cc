#include "greengage/coordination/searcher_reach.h"

#include <algorithm>
#include <utility>

namespace greengage {

size_t SearcherReach::TakeTrial(TimePoint now) {
  std::erase_if(unreachable_at_, [&](const auto& item) {
    return now - item.second >= options_.window;
  });
  const bool is_suspicious = unreachable_at_.size() >= options_.min_unreachable;
  if (now < next_trial_ || (!is_cut_off_ && !is_suspicious)) {
    return 0;
  }
  next_trial_ =
      now + (is_cut_off_ ? options_.retrial_interval : options_.trial_interval);
  succeeded_ = 0;
  failed_ = 0;
  answered_since_trial_ = false;
  return options_.connections;
}

void SearcherReach::OnTrialResult(TrialResult result) {
  const bool succeeded =
      result == TrialResult::kAnswered ||
      (result == TrialResult::kSilent && answered_since_trial_);
  ++(succeeded ? succeeded_ : failed_);
  const size_t majority = options_.connections / 2 + 1;
  if (failed_ == majority) {
    if (!std::exchange(is_cut_off_, true)) {
      reached_at_.clear();
    }
  } else if (succeeded_ == majority) {
    is_cut_off_ = false;
    unreachable_at_.clear();
  }
}

bool SearcherReach::HasReached(
    TimePoint now,
    const std::function<bool(const std::string&)>& filter) const {
  return std::any_of(
      reached_at_.begin(), reached_at_.end(), [&](const auto& item) {
        return now - item.second < options_.reached_time && filter(item.first);
      });
}

}  // namespace greengage
