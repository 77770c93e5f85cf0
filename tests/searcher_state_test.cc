#include "greengage/coordination/searcher_state.h"

#include "greengage/coordination/replica_chooser.h"

#include <criterion/criterion.h>

namespace greengage {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Endpoint Searcher() {
  return {"127.0.0.1", 1};
}

Endpoint OtherSearcher() {
  return {"127.0.0.1", 2};
}

SubAnswer MakeSubAnswer(Outcome outcome, Refusal refusal) {
  SubAnswer answer;
  answer.outcome = outcome;
  answer.refusal = refusal;
  return answer;
}

void Fail(SearcherState& state, TimePoint now, int times) {
  for (int i = 0; i < times; ++i) {
    state.OnSent(now, Rank::kUrgent);
    state.OnEnded(now, Rank::kUrgent, now,
                  MakeSubAnswer(Outcome::kUnknown, Refusal::kConnectionLost));
  }
}

void Succeed(SearcherState& state, TimePoint now) {
  state.OnSent(now, Rank::kUrgent);
  state.OnEnded(now, Rank::kUrgent, now,
                MakeSubAnswer(Outcome::kAnswered, Refusal::kNone));
}

SearcherView ViewOf(const Endpoint& endpoint) {
  SearcherView view;
  view.endpoint = endpoint;
  return view;
}

}  // namespace

Test(SearcherState, IsSuspectedThenEjectedThenSlowStarted) {
  TimePoint now;
  SearcherState state(now, {}, 2);
  Fail(state, now, 3);
  cr_assert(state.View(now, Searcher()).avoided);
  cr_assert(!state.conditions(now).ejected);
  now += milliseconds(150);
  cr_assert(!state.View(now, Searcher()).avoided);
  Fail(state, now, 1);
  cr_assert(state.conditions(now).ejected);
  now += milliseconds(300);
  state.OnSent(now, Rank::kUrgent);
  cr_assert(state.View(now, Searcher()).avoided);  // One probe at a time.
  state.OnEnded(now, Rank::kUrgent, now,
                MakeSubAnswer(Outcome::kAnswered, Refusal::kNone));
  cr_assert(!state.View(now, Searcher()).avoided);
  cr_assert_lt(state.View(now, Searcher()).weight, 0.2);
  cr_assert_eq(state.View(now + seconds(5), Searcher()).weight, 1);
}

Test(SearcherState, AnswersClearSuspicion) {
  const TimePoint now;
  SearcherState state(now, {}, 2);
  for (int i = 0; i < 9; ++i) {
    Fail(state, now, 2);
    Succeed(state, now);
  }
  cr_assert(!state.View(now, Searcher()).avoided);
}

Test(SearcherState, DrainsFromTheFirstSignal) {
  const TimePoint now;
  SearcherState state(now, {}, 2);
  state.OnHealthReport(true);
  state.OnDrainSignal(now);
  state.OnLoad(now, SearcherLoad{});
  cr_assert(state.View(now + seconds(5), Searcher()).draining);
}

Test(SearcherState, StaleVersionsMayHaveAdvanced) {
  const TimePoint now = TimePoint() + seconds(9);
  SearcherState state(now, {}, 2);
  SearcherLoad load;
  load.oldest_version = 3;
  load.newest_version = 4;
  state.OnLoad(now, load);
  cr_assert(!state.View(now, Searcher()).MayHold(5));
  cr_assert(state.View(now + seconds(1), Searcher()).MayHold(5));
  cr_assert(!state.View(now + seconds(1), Searcher()).MayHold(2));
}

Test(ReplicaChooser, UsesEjectedReplicaIfThereIsNoOther) {
  ReplicaChooser chooser(1);
  SearcherView ejected = ViewOf(Searcher());
  ejected.avoided = true;
  cr_assert(chooser.Choose({ejected}, {}) == Searcher());
  cr_assert(chooser.Choose({ejected, ViewOf(OtherSearcher())}, {}) ==
            OtherSearcher());
  SearcherView draining = ViewOf(OtherSearcher());
  draining.draining = true;
  cr_assert(!chooser.Choose({draining}, {}));
}

Test(ReplicaChooser, ChoosesLessLoadedForTheRank) {
  ReplicaChooser chooser(1);
  SearcherView urgent_busy = ViewOf(Searcher());
  urgent_busy.outstanding = {2, 0, 0};
  SearcherView background_busy = ViewOf(OtherSearcher());
  background_busy.outstanding = {1, 0, 50};
  ReplicaRequirements requirements;
  cr_assert(chooser.Choose({urgent_busy, background_busy}, requirements) ==
            OtherSearcher());
  requirements.rank = Rank::kBackground;
  cr_assert(chooser.Choose({urgent_busy, background_busy}, requirements) ==
            Searcher());
}

Test(ReplicaChooser, ExcludesTriedReplicasAndMissingVersions) {
  ReplicaChooser chooser(1);
  const std::vector<Endpoint> tried{Searcher()};
  ReplicaRequirements requirements;
  requirements.tried = &tried;
  const std::vector<SearcherView> both{ViewOf(Searcher()),
                                       ViewOf(OtherSearcher())};
  cr_assert(chooser.Choose(both, requirements) == OtherSearcher());
  SearcherView outdated = ViewOf(OtherSearcher());
  outdated.oldest_version = 1;
  outdated.newest_version = 1;
  requirements.index_version = 2;
  cr_assert(!chooser.Choose({ViewOf(Searcher()), outdated}, requirements));
  cr_assert(chooser.ChooseAlternative({ViewOf(Searcher()), outdated},
                                      requirements) == Searcher());
}

}  // namespace greengage
