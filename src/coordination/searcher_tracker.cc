#include "greengage/coordination/searcher_tracker.h"

namespace greengage {

SearcherTracker::SearcherTracker(SearcherStateOptions options,
                                 ChangeHook on_change)
    : options_(options), on_change_(std::move(on_change)) {}

void SearcherTracker::Apply(TimePoint now, const Configuration& configuration) {
  bool any_known = false;
  for (Stripe& stripe : stripes_) {
    const std::lock_guard lock(stripe.mutex);
    std::erase_if(stripe.states, [&](const auto& entry) {
      return configuration.searchers.count(entry.first) == 0;
    });
    any_known = any_known || !stripe.states.empty();
  }
  for (const auto& [endpoint, searcher] : configuration.searchers) {
    Stripe& stripe = StripeOf(endpoint);
    const std::lock_guard lock(stripe.mutex);
    const auto [it, inserted] = stripe.states.try_emplace(
        endpoint, SearcherState(now, options_, searcher.slots));
    it->second.set_slots(searcher.slots);
    if (inserted && any_known) {
      it->second.OnColdStart(now);
    }
  }
}

void SearcherTracker::OnSent(TimePoint now,
                             const Endpoint& searcher,
                             Rank rank) {
  Update(now, searcher, [&](SearcherState& s) { s.OnSent(now, rank); });
}

void SearcherTracker::OnEnded(TimePoint now,
                              Rank rank,
                              TimePoint sent,
                              const SubAnswer& answer) {
  Update(now, answer.searcher,
         [&](SearcherState& s) { s.OnEnded(now, rank, sent, answer); });
}

void SearcherTracker::OnCancelled(TimePoint now,
                                  const Endpoint& searcher,
                                  Rank rank,
                                  bool overdue) {
  Update(now, searcher,
         [&](SearcherState& s) { s.OnCancelled(now, rank, overdue); });
}

void SearcherTracker::OnLoad(TimePoint now,
                             const Endpoint& searcher,
                             const SearcherLoad& load) {
  Update(now, searcher, [&](SearcherState& s) { s.OnLoad(now, load); });
}

void SearcherTracker::OnDrainSignal(TimePoint now, const Endpoint& searcher) {
  Update(now, searcher, [&](SearcherState& s) { s.OnDrainSignal(now); });
}

void SearcherTracker::OnColdStart(TimePoint now, const Endpoint& searcher) {
  Update(now, searcher, [&](SearcherState& s) { s.OnColdStart(now); });
}

void SearcherTracker::OnHealthReport(TimePoint now,
                                     const Endpoint& searcher,
                                     bool healthy) {
  Update(now, searcher, [&](SearcherState& s) { s.OnHealthReport(healthy); });
}

std::optional<SearcherView> SearcherTracker::View(
    TimePoint now,
    const Endpoint& searcher) const {
  const Stripe& stripe = StripeOf(searcher);
  const std::lock_guard lock(stripe.mutex);
  const auto it = stripe.states.find(searcher);
  if (it == stripe.states.end()) {
    return std::nullopt;
  }
  return it->second.View(now, searcher);
}

std::vector<SearcherView> SearcherTracker::Views(
    TimePoint now,
    const ShardConfiguration& shard) const {
  std::vector<SearcherView> views;
  views.reserve(shard.replicas.size());
  for (const Endpoint& searcher : shard.replicas) {
    const Stripe& stripe = StripeOf(searcher);
    const std::lock_guard lock(stripe.mutex);
    const auto it = stripe.states.find(searcher);
    if (it != stripe.states.end()) {
      SearcherView view = it->second.View(now, searcher);
      view.lacks_shard = it->second.LacksShard(now, shard.name);
      views.push_back(std::move(view));
    }
  }
  return views;
}

void SearcherTracker::OnRangeNotHeld(TimePoint now,
                                     const Endpoint& searcher,
                                     const std::string& shard) {
  Update(now, searcher,
         [&](SearcherState& state) { state.OnRangeNotHeld(now, shard); });
}

SearcherTracker::Stripe& SearcherTracker::StripeOf(const Endpoint& searcher) {
  return stripes_[std::hash<Endpoint>()(searcher) % kStripes];
}

const SearcherTracker::Stripe& SearcherTracker::StripeOf(
    const Endpoint& searcher) const {
  return stripes_[std::hash<Endpoint>()(searcher) % kStripes];
}

void SearcherTracker::Update(
    TimePoint now,
    const Endpoint& searcher,
    const std::function<void(SearcherState&)>& update) {
  Stripe& stripe = StripeOf(searcher);
  SearcherConditions before;
  SearcherConditions after;
  {
    const std::lock_guard lock(stripe.mutex);
    const auto it = stripe.states.find(searcher);
    if (it == stripe.states.end()) {
      return;
    }
    before = it->second.conditions(now);
    update(it->second);
    after = it->second.conditions(now);
  }
  ReportChanges(now, searcher, before, after);
}

void SearcherTracker::ReportChanges(TimePoint now,
                                    const Endpoint& searcher,
                                    const SearcherConditions& before,
                                    const SearcherConditions& after) const {
  if (!on_change_) {
    return;
  }
  if (after.ejected && !before.ejected) {
    on_change_(now, searcher, Change::kEjected);
  }
  if (before.ejected && !after.ejected) {
    on_change_(now, searcher, Change::kReturned);
  }
  if (after.draining && !before.draining) {
    on_change_(now, searcher, Change::kDraining);
  }
}

}  // namespace greengage
