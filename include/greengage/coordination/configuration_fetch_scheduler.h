// From which instance a higher configuration version is fetched.
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

// Ask `source` for its version above `have_version`.
struct ConfigurationFetch {
  Instance source;
  uint64_t version = 0;  // The version that it has told of.
  uint64_t have_version = 0;
};

// Decides what to fetch and from whom; each function gives the fetch to start
// now, if there is one. Several may run at once: one that is slow is left
// running while another source is asked. Not thread-safe.
class ConfigurationFetchScheduler {
 public:
  // `source` has told that it has `version` in force.
  std::optional<ConfigurationFetch> OnVersionAnnounced(uint64_t version,
                                                       const Instance& source,
                                                       TimePoint now);

  // The fetch of `version` from the instance `source` has failed, or has
  // brought nothing newer.
  std::optional<ConfigurationFetch> OnFetchFailed(std::string_view source,
                                                  TimePoint now);

  // `version` is in force here, from wherever it came.
  std::optional<ConfigurationFetch> OnActivated(uint64_t version,
                                                TimePoint now);

  // Call about every 100 ms while there is a fetch.
  std::optional<ConfigurationFetch> Tick(TimePoint now);

  // Whether a text of `version` may be put in force: only a higher one may.
  bool IsNewer(uint64_t version) const { return version > active_version_; }

  uint64_t active_version() const { return active_version_; }

  // Whether a version is in force and no higher one is known that a source
  // could still give.
  bool caught_up() const { return active_version_ > 0 && sources_.empty(); }

 private:
  struct Source {
    Instance instance;
    uint64_t version = 0;
    bool asked = false;
    TimePoint asked_at;
  };

  std::optional<ConfigurationFetch> Next(TimePoint now);

  uint64_t active_version_ = 0;
  std::vector<Source> sources_;  // With a version above the one in force.
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_CONFIGURATION_FETCH_SCHEDULER_H_
