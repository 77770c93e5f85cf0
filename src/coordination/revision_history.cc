#include "greengage/coordination/revision_history.h"

#include <algorithm>
#include <cstddef>

namespace greengage {
namespace {

// A state that is older than all samples counts as one of unknown age.
constexpr size_t kMaxSamples = 256;

}  // namespace

void RevisionHistory::OnAnswer(TimePoint sent, StoreRevision revision) {
  if (samples_.empty() || samples_.back().revision < revision) {
    const TimePoint known =
        samples_.empty() ? sent : std::max(sent, samples_.back().sent);
    samples_.push_back({revision, known});
  } else if (!(revision < samples_.back().revision)) {
    samples_.back().sent = std::max(samples_.back().sent, sent);
  }
  if (samples_.size() > kMaxSamples) {
    samples_.pop_front();
  }
}

std::optional<TimePoint> RevisionHistory::CurrentAt(
    StoreRevision revision) const {
  const auto after =
      std::upper_bound(samples_.begin(), samples_.end(), revision,
                       [](const StoreRevision& value, const Sample& sample) {
                         return value < sample.revision;
                       });
  return after == samples_.begin() ? std::nullopt
                                   : std::optional((after - 1)->sent);
}

}  // namespace greengage
