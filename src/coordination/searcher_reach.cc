#include "greengage/coordination/searcher_reach.h"

#include <algorithm>

namespace greengage {

void SearcherReach::OnAnswered(TimePoint now, const std::string& searcher) {
  searchers_[searcher].answered_at = now;
}

void SearcherReach::OnUnreachable(TimePoint now,
                                  const std::string& searcher,
                                  const Endpoint& endpoint) {
  Searcher& known = searchers_[searcher];
  known.endpoint = endpoint;
  known.unreachable_at = now;
  if (is_cut_off_ || now < doubted_until_) {
    return;
  }
  Forget(now);
  const size_t unreachable = CountUnreachable(now);
  if (unreachable >= options_.min_unreachable &&
      unreachable >= CountAnswered(now)) {
    is_cut_off_ = true;
    next_trial_ = now + options_.trial_interval;
  }
}

bool SearcherReach::IsUnreachable(TimePoint now,
                                  const Searcher& searcher) const {
  return searcher.unreachable_at > searcher.answered_at &&
         now - searcher.unreachable_at < options_.window;
}

size_t SearcherReach::CountUnreachable(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      searchers_.begin(), searchers_.end(),
      [&](const auto& item) { return IsUnreachable(now, item.second); }));
}

size_t SearcherReach::CountAnswered(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      searchers_.begin(), searchers_.end(), [&](const auto& item) {
        return !IsUnreachable(now, item.second) &&
               now - item.second.answered_at < options_.window;
      }));
}

void SearcherReach::Forget(TimePoint now) {
  std::erase_if(searchers_, [&](const auto& item) {
    return now -
               std::max(item.second.answered_at, item.second.unreachable_at) >=
           options_.window;
  });
}

void SearcherReach::Reset() {
  is_cut_off_ = false;
  searchers_.clear();
}

void SearcherReach::OnPeersRefused(TimePoint now) {
  Reset();
  doubted_until_ = now + options_.doubt_time;
}

std::vector<Endpoint> SearcherReach::TakeTrials(TimePoint now,
                                                std::minstd_rand& random) {
  std::vector<Endpoint> endpoints;
  if (!is_cut_off_ || now < next_trial_) {
    return endpoints;
  }
  for (const auto& [id, searcher] : searchers_) {
    if (searcher.unreachable_at > searcher.answered_at) {
      endpoints.push_back(searcher.endpoint);
    }
  }
  std::shuffle(endpoints.begin(), endpoints.end(), random);
  endpoints.resize(std::min(endpoints.size(), options_.trials));
  next_trial_ = now + options_.trial_interval;
  trials_taken_ = endpoints.size();
  trials_succeeded_ = 0;
  return endpoints;
}

void SearcherReach::OnTrial(bool succeeded) {
  trials_succeeded_ += succeeded ? 1 : 0;
  if (is_cut_off_ && 2 * trials_succeeded_ > trials_taken_) {
    Reset();
  }
}

}  // namespace greengage
