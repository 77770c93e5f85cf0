#include "greengage/coordination/searcher_reach.h"

#include <chrono>
#include <string>

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};

void LoseSearchers(SearcherReach& reach, TimePoint now, int count) {
  for (int i = 0; i < count; ++i) {
    reach.OnUnreachable(now, "s" + std::to_string(i));
  }
}

// Takes a trial, of which `succeeded` of three connections succeed.
void RunTrial(SearcherReach& reach, TimePoint now, int succeeded) {
  cr_assert(reach.TakeTrial(now) == 3);
  for (int i = 0; i < 3; ++i) {
    reach.OnTrialResult(i < succeeded ? TrialResult::kAnswered
                                      : TrialResult::kUnreachable);
  }
}

SearcherReach CutOff() {
  SearcherReach reach{SearcherReachOptions{}};
  LoseSearchers(reach, kStart, 2);
  RunTrial(reach, kStart, 0);
  return reach;
}

}  // namespace

// An instance with little traffic has few attempts that fail.
Test(SearcherReach, TwoUnreachableSearchersAndAFailedTrialAreACut) {
  SearcherReach reach{SearcherReachOptions{}};
  cr_assert(reach.TakeTrial(kStart) == 0);
  LoseSearchers(reach, kStart, 1);
  cr_assert(reach.TakeTrial(kStart) == 0);
  LoseSearchers(reach, kStart + Ms(1500), 2);
  cr_assert(!reach.is_cut_off());
  RunTrial(reach, kStart + Ms(1500), 1);
  cr_assert(reach.is_cut_off());
}

// Some searchers are lost, and the others can be reached.
Test(SearcherReach, LostSearchersAreNotACut) {
  SearcherReach reach{SearcherReachOptions{}};
  LoseSearchers(reach, kStart, 20);
  RunTrial(reach, kStart, 2);
  cr_assert(!reach.is_cut_off());
  LoseSearchers(reach, kStart + Ms(1000), 20);
  cr_assert(reach.TakeTrial(kStart + Ms(1000)) == 0);
  RunTrial(reach, kStart + Ms(2000), 3);
  cr_assert(!reach.is_cut_off());
}

// A searcher that answers after a lost connection is reachable.
Test(SearcherReach, ResetConnectionsLeadToNoTrial) {
  SearcherReach reach{SearcherReachOptions{}};
  for (int i = 0; i < 50; ++i) {
    const std::string searcher = "s" + std::to_string(i);
    reach.OnUnreachable(kStart + Ms(i), searcher);
    cr_assert(reach.TakeTrial(kStart + Ms(i)) == 0);
    reach.OnAnswered(searcher);
  }
}

// In some cuts the connections that are open live on.
Test(SearcherReach, AnswersOnOldConnectionsDoNotHideACut) {
  SearcherReach reach{SearcherReachOptions{}};
  for (int i = 0; i < 100; ++i) {
    reach.OnAnswered("old" + std::to_string(i));
  }
  LoseSearchers(reach, kStart, 2);
  RunTrial(reach, kStart, 0);
  cr_assert(reach.is_cut_off());
}

Test(SearcherReach, EndsWithASuccessfulTrial) {
  SearcherReach reach = CutOff();
  cr_assert(reach.TakeTrial(kStart + Ms(1000)) == 0);
  RunTrial(reach, kStart + Ms(2000), 1);
  cr_assert(reach.is_cut_off());
  cr_assert(reach.TakeTrial(kStart + Ms(2400)) == 0);
  RunTrial(reach, kStart + Ms(2500), 2);
  cr_assert(!reach.is_cut_off());
  cr_assert(reach.TakeTrial(kStart + Ms(5000)) == 0);
}

// Guards against a device on the way that accepts connections and then passes
// nothing on.
Test(SearcherReach, SilentConnectionsAreACutIfNoSearcherAnswers) {
  for (const bool one_answers : {false, true}) {
    SearcherReach reach{SearcherReachOptions{}};
    LoseSearchers(reach, kStart, 2);
    cr_assert(reach.TakeTrial(kStart) == 3);
    if (one_answers) {
      reach.OnAnswered("other");
    }
    for (int i = 0; i < 3; ++i) {
      reach.OnTrialResult(TrialResult::kSilent);
    }
    cr_assert(reach.is_cut_off() == !one_answers);
  }
}

}  // namespace greengage
