#include "greengage/coordination/replica_chooser.h"

#include <algorithm>

namespace greengage {

namespace {

// What a searcher says of itself may mislead. Its own queue counts less than
// what is known to be outstanding, and up to its slots; its health endpoint
// only decides between equals.
constexpr double kToldWeight = 0.25;
constexpr double kHintWeight = 0.1;

bool IsTried(const Endpoint& endpoint, const std::vector<Endpoint>* tried) {
  return tried != nullptr &&
         std::find(tried->begin(), tried->end(), endpoint) != tried->end();
}

using Candidates = std::vector<const SearcherView*>;

Candidates KeepPreferred(const Candidates& all,
                         bool (*is_preferred)(const SearcherView&)) {
  Candidates preferred;
  std::copy_if(all.begin(), all.end(), std::back_inserter(preferred),
               [&](const SearcherView* view) { return is_preferred(*view); });
  return preferred.empty() ? all : preferred;
}

}  // namespace

ReplicaChooser::ReplicaChooser(uint64_t seed)
    : random_(static_cast<std::minstd_rand::result_type>(seed)) {}

std::optional<Endpoint> ReplicaChooser::Choose(
    const std::vector<SearcherView>& replicas,
    const ReplicaRequirements& need) {
  Candidates usable;
  for (const SearcherView& view : replicas) {
    if (!view.draining && view.MayHold(need.index_version) &&
        !IsTried(view.endpoint, need.tried)) {
      usable.push_back(&view);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  usable =
      KeepPreferred(usable, [](const SearcherView& v) { return !v.avoided; });
  usable = KeepPreferred(usable,
                         [](const SearcherView& v) { return !v.lacks_shard; });
  usable = KeepWarm(usable);
  return LessLoaded(usable, need.rank).endpoint;
}

std::optional<Endpoint> ReplicaChooser::ChooseAlternative(
    const std::vector<SearcherView>& replicas,
    const ReplicaRequirements& need) {
  std::optional<Endpoint> untried = Choose(replicas, need);
  if (untried || need.tried == nullptr || need.tried->empty()) {
    return untried;
  }
  const std::vector<Endpoint> last{need.tried->back()};
  const bool others_work = std::any_of(
      replicas.begin(), replicas.end(), [&](const SearcherView& view) {
        return view.endpoint != last.front() && !view.draining && !view.avoided;
      });
  ReplicaRequirements any = need;
  any.tried = &last;
  const std::optional<Endpoint> other =
      others_work ? Choose(replicas, any) : std::nullopt;
  any.tried = nullptr;
  return other ? other : Choose(replicas, any);
}

// A cold searcher stands for choice with a probability equal to its weight.
std::vector<const SearcherView*> ReplicaChooser::KeepWarm(
    const std::vector<const SearcherView*>& candidates) {
  Candidates warm;
  std::uniform_real_distribution<double> chance(0, 1);
  for (const SearcherView* view : candidates) {
    if (view->weight >= 1 || chance(random_) < view->weight) {
      warm.push_back(view);
    }
  }
  return warm.empty() ? candidates : warm;
}

const SearcherView& ReplicaChooser::LessLoaded(
    const std::vector<const SearcherView*>& candidates,
    Rank rank) {
  const size_t count = candidates.size();
  if (count == 1) {
    return *candidates.front();
  }
  std::uniform_int_distribution<size_t> first_of(0, count - 1);
  std::uniform_int_distribution<size_t> step_of(1, count - 1);
  const size_t first = first_of(random_);
  const size_t second = (first + step_of(random_)) % count;
  const double first_load = LoadPerSlot(*candidates[first], rank);
  const double second_load = LoadPerSlot(*candidates[second], rank);
  return *candidates[second_load < first_load ? second : first];
}

double LoadPerSlot(const SearcherView& searcher, Rank rank) {
  double ahead = 0;
  for (size_t i = 0; i <= IndexOf(rank); ++i) {
    ahead += searcher.outstanding[i];
  }
  ahead += kToldWeight * std::min(searcher.reported_queue, searcher.slots);
  ahead += searcher.reported_unhealthy ? kHintWeight : 0;
  return ahead / std::max(1U, searcher.slots);
}

}  // namespace greengage
