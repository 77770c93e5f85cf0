// Selects the instance from which a newer configuration version is fetched.
#ifndef GREENGAGE_COORDINATION_CONFIGURATION_FETCH_SCHEDULER_H_
#define GREENGAGE_COORDINATION_CONFIGURATION_FETCH_SCHEDULER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "greengage/state/instance.h"
#include "greengage/state/time.h"

namespace greengage {

// A request to `source` for its configuration if newer than `have_version`.
struct ConfigurationFetch {
  Instance source;
  uint64_t version = 0;  // The version that `source` announced.
  uint64_t have_version = 0;
};

// Each event handler returns the fetch to start now, if any. Several fetches
// may be in flight: a slow one continues while another source is tried. Not
// thread-safe.
class ConfigurationFetchScheduler {
 public:
  // `source` announced that `version` is its active version.
  std::optional<ConfigurationFetch> OnVersionAnnounced(uint64_t version,
                                                       const Instance& source,
                                                       TimePoint now);

  // The fetch from the instance `source` failed or returned no newer version.
  std::optional<ConfigurationFetch> OnFetchFailed(std::string_view source,
                                                  TimePoint now);

  // `version` became active on this instance, whatever its source.
  std::optional<ConfigurationFetch> OnActivated(uint64_t version,
                                                TimePoint now);

  // Call about every 100 ms while a fetch is in flight.
  std::optional<ConfigurationFetch> Tick(TimePoint now);

  // Returns true if `version` may be activated, that is, if it is higher than
  // the active one.
  bool IsNewer(uint64_t version) const { return version > active_version_; }

  uint64_t active_version() const { return active_version_; }

  // Returns true if a version is active and no known source has a higher one.
  bool caught_up() const { return active_version_ > 0 && sources_.empty(); }

 private:
  struct Source {
    Instance instance;
    uint64_t version = 0;
    bool requested = false;
    TimePoint requested_at;
  };

  std::optional<ConfigurationFetch> NextFetch(TimePoint now);

  uint64_t active_version_ = 0;
  std::vector<Source> sources_;  // Sources of versions above the active one.
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_CONFIGURATION_FETCH_SCHEDULER_H_
