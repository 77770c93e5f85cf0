#include "greengage/coordination/searcher_reach.h"

#include <chrono>
#include <random>
#include <string>

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Ms kTrialInterval{500};

std::string SearcherId(int number) {
  return "s" + std::to_string(number);
}

void LoseSearchers(SearcherReach& reach, TimePoint now, int first, int count) {
  for (int i = first; i < first + count; ++i) {
    reach.OnUnreachable(now, SearcherId(i),
                        {"10.0.0.1", static_cast<uint16_t>(9000 + i)});
  }
}

void AnswerFrom(SearcherReach& reach, TimePoint now, int first, int count) {
  for (int i = first; i < first + count; ++i) {
    reach.OnAnswered(now, SearcherId(i));
  }
}

}  // namespace

Test(SearcherReach, CountsAsCutOffWhenMostSearchersAreUnreachable) {
  SearcherReach reach{SearcherReachOptions{}};
  AnswerFrom(reach, kStart, 0, 20);
  LoseSearchers(reach, kStart + Ms(100), 0, 9);
  cr_assert(!reach.is_cut_off());
  LoseSearchers(reach, kStart + Ms(100), 9, 1);
  cr_assert(reach.is_cut_off());
}

// The answers of before the cut do not count for long.
Test(SearcherReach, CountsAsCutOffSoonAfterTheLastAnswers) {
  SearcherReach reach{SearcherReachOptions{}};
  AnswerFrom(reach, kStart, 0, 200);
  LoseSearchers(reach, kStart + Ms(1100), 0, 3);
  cr_assert(reach.is_cut_off());
}

Test(SearcherReach, AFewLostSearchersAreNotACut) {
  SearcherReach reach{SearcherReachOptions{}};
  LoseSearchers(reach, kStart, 0, 2);
  cr_assert(!reach.is_cut_off());
  for (int second = 0; second < 10; ++second) {
    const TimePoint now = kStart + Ms(1000 * second);
    AnswerFrom(reach, now, 10, 30);
    LoseSearchers(reach, now + Ms(10), 0, 8);
    cr_assert(!reach.is_cut_off());
  }
}

// A searcher that answers after a lost connection is reachable.
Test(SearcherReach, ResetConnectionsAreNotACut) {
  SearcherReach reach{SearcherReachOptions{}};
  for (int i = 0; i < 50; ++i) {
    LoseSearchers(reach, kStart + Ms(i), i, 1);
    AnswerFrom(reach, kStart + Ms(i + 1), i, 1);
  }
  cr_assert(!reach.is_cut_off());
}

Test(SearcherReach, EndsWithAMajorityOfTheTrials) {
  SearcherReach reach{SearcherReachOptions{}};
  std::minstd_rand random;
  cr_assert(reach.TakeTrials(kStart, random).empty());
  LoseSearchers(reach, kStart, 0, 10);
  cr_assert(reach.TakeTrials(kStart, random).empty());
  cr_assert(reach.TakeTrials(kStart + kTrialInterval, random).size() == 3);
  cr_assert(reach.TakeTrials(kStart + kTrialInterval, random).empty());
  reach.OnTrial(false);
  reach.OnTrial(true);
  reach.OnTrial(false);
  cr_assert(reach.is_cut_off());
  cr_assert(reach.TakeTrials(kStart + 2 * kTrialInterval, random).size() == 3);
  reach.OnTrial(true);
  cr_assert(reach.is_cut_off());
  reach.OnTrial(true);
  cr_assert(!reach.is_cut_off());
}

// If the peers do not reach the searchers either, the searchers are lost.
Test(SearcherReach, ServesHereWhileThePeersRefuse) {
  SearcherReach reach{SearcherReachOptions{}};
  LoseSearchers(reach, kStart, 0, 10);
  reach.OnPeersRefused(kStart);
  LoseSearchers(reach, kStart + Ms(500), 0, 10);
  cr_assert(!reach.is_cut_off());
  LoseSearchers(reach, kStart + Ms(2500), 0, 10);
  cr_assert(reach.is_cut_off());
}

}  // namespace greengage
