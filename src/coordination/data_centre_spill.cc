#include "greengage/coordination/data_centre_spill.h"

#include <algorithm>

namespace greengage {
namespace {

using std::chrono::milliseconds;

// Interval and size of the steps of a share. A share can rise from none to all
// in a second, which is short against the seconds over which demand moves.
constexpr Duration kStepInterval = milliseconds(100);
constexpr double kStep = 0.1;

// Leaving must gain this fraction of the estimate beyond its cost, so that a
// share does not follow the noise of the estimates.
constexpr double kMinGain = 0.1;

size_t IndexOf(Locality locality) {
  return static_cast<size_t>(locality);
}

}  // namespace

std::string_view LocalityName(Locality locality) {
  switch (locality) {
    case Locality::kDataCentre:
      return "data_centre";
    case Locality::kRegion:
      return "region";
    case Locality::kElsewhere:
      return "elsewhere";
  }
  return "unknown";
}

// Steps follow each other in time, not by the number of requests: instances
// with many requests would otherwise swing.
void DataCentreSpill::Adjust(TimePoint now, bool pays, Leaving& leaving) {
  if (leaving.changed_at && now - *leaving.changed_at < kStepInterval) {
    return;
  }
  leaving.changed_at = now;
  leaving.share = std::clamp(leaving.share + (pays ? kStep : -kStep), 0.0, 1.0);
}

Locality DataCentreSpill::Choose(TimePoint now,
                                 const std::string& service,
                                 const LocalityLatencies& latencies,
                                 Duration objective) {
  Shares& shares = services_[service];
  for (size_t near = 0; near + 1 < kLocalities; ++near) {
    if (!latencies[near]) {
      continue;
    }
    std::optional<Duration> beyond;  // The best of all more distant ones.
    for (size_t far = near + 1; far < kLocalities; ++far) {
      if (latencies[far]) {
        const Duration cost = far == IndexOf(Locality::kElsewhere)
                                  ? options_.leaving_region_cost
                                  : options_.leaving_cost;
        beyond = std::min(beyond.value_or(*latencies[far] + cost),
                          *latencies[far] + cost);
      }
    }
    if (!beyond) {
      return static_cast<Locality>(near);
    }
    Leaving& leaving = shares[near];
    const Duration here = *latencies[near];
    const auto min_gain = std::chrono::duration_cast<Duration>(here * kMinGain);
    const bool is_late = here > objective && *beyond < here;
    Adjust(now, is_late || here > *beyond + min_gain, leaving);
    leaving.remainder += leaving.share;
    if (leaving.remainder < 1) {
      return static_cast<Locality>(near);
    }
    leaving.remainder -= 1;
  }
  for (size_t locality = kLocalities; locality > 0; --locality) {
    if (latencies[locality - 1]) {
      return static_cast<Locality>(locality - 1);
    }
  }
  return Locality::kElsewhere;
}

double DataCentreSpill::ShareLeaving(const std::string& service,
                                     Locality locality) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second[IndexOf(locality)].share;
}

}  // namespace greengage
