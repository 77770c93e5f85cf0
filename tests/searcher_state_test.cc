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

Endpoint Other() {
  return {"127.0.0.1", 2};
}

SubAnswer End(Outcome outcome, Refusal refusal) {
  SubAnswer answer;
  answer.outcome = outcome;
  answer.refusal = refusal;
  return answer;
}

void Fail(SearcherState& state, TimePoint now, int times) {
  for (int i = 0; i < times; ++i) {
    state.OnSent(now, Rank::kUrgent);
    state.OnEnded(now, Rank::kUrgent, now,
                  End(Outcome::kUnknown, Refusal::kConnectionLost));
  }
}

void Succeed(SearcherState& state, TimePoint now) {
  state.OnSent(now, Rank::kUrgent);
  state.OnEnded(now, Rank::kUrgent, now,
                End(Outcome::kAnswered, Refusal::kNone));
}

SearcherView ViewOf(const Endpoint& endpoint) {
  SearcherView view;
  view.endpoint = endpoint;
  return view;
}

}  // namespace

Test(SearcherState, IsSuspectedThenEjectedThenWarmsUp) {
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
  cr_assert(state.View(now, Searcher()).avoided);  // One trial at a time.
  state.OnEnded(now, Rank::kUrgent, now,
                End(Outcome::kAnswered, Refusal::kNone));
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

Test(SearcherState, DrainsFromTheFirstSign) {
  const TimePoint now;
  SearcherState state(now, {}, 2);
  state.OnHealthReport(true);
  state.OnDrainSignal(now);
  state.OnLoad(now, SearcherLoad{});
  cr_assert(state.View(now + seconds(5), Searcher()).draining);
}

Test(SearcherState, OldVersionsMayHaveGrown) {
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

Test(ReplicaChooser, NeverEmptiesAShardByEjection) {
  ReplicaChooser chooser(1);
  SearcherView ejected = ViewOf(Searcher());
  ejected.avoided = true;
  cr_assert(chooser.Choose({ejected}, {}) == Searcher());
  cr_assert(chooser.Choose({ejected, ViewOf(Other())}, {}) == Other());
  SearcherView draining = ViewOf(Other());
  draining.draining = true;
  cr_assert(!chooser.Choose({draining}, {}));
}

Test(ReplicaChooser, TakesTheLessLoadedForTheRank) {
  ReplicaChooser chooser(1);
  SearcherView busy = ViewOf(Searcher());
  busy.outstanding = {2, 0, 0};
  SearcherView flooded = ViewOf(Other());
  flooded.outstanding = {1, 0, 50};
  ReplicaRequirements need;
  cr_assert(chooser.Choose({busy, flooded}, need) == Other());
  need.rank = Rank::kBackground;
  cr_assert(chooser.Choose({busy, flooded}, need) == Searcher());
}

Test(ReplicaChooser, ExcludesTriedReplicasAndMissingVersions) {
  ReplicaChooser chooser(1);
  const std::vector<Endpoint> tried{Searcher()};
  ReplicaRequirements need;
  need.tried = &tried;
  const std::vector<SearcherView> both{ViewOf(Searcher()), ViewOf(Other())};
  cr_assert(chooser.Choose(both, need) == Other());
  SearcherView old = ViewOf(Other());
  old.oldest_version = 1;
  old.newest_version = 1;
  need.index_version = 2;
  cr_assert(!chooser.Choose({ViewOf(Searcher()), old}, need));
  cr_assert(chooser.ChooseAlternative({ViewOf(Searcher()), old}, need) == Searcher());
}

}  // namespace greengage
