#include "greengage/coordination/configuration_fetch_scheduler.h"

#include <algorithm>

namespace greengage {

namespace {

constexpr std::chrono::milliseconds kFetchHedgeDelay{700};
constexpr size_t kMaxSources = 8;

}  // namespace

std::optional<ConfigurationFetch>
ConfigurationFetchScheduler::OnVersionAnnounced(uint64_t version,
                                                const Instance& source,
                                                TimePoint now) {
  if (!IsNewer(version)) {
    return std::nullopt;
  }
  const auto known =
      std::find_if(sources_.begin(), sources_.end(),
                   [&](const Source& s) { return s.instance.id == source.id; });
  if (known == sources_.end()) {
    if (sources_.size() < kMaxSources) {
      sources_.push_back({.instance = source, .version = version});
    }
  } else if (version > known->version) {
    *known = {.instance = source, .version = version};
  }
  return NextFetch(now);
}

std::optional<ConfigurationFetch> ConfigurationFetchScheduler::OnFetchFailed(
    std::string_view source,
    TimePoint now) {
  std::erase_if(sources_, [&](const Source& s) {
    return s.requested && s.instance.id == source;
  });
  return NextFetch(now);
}

std::optional<ConfigurationFetch> ConfigurationFetchScheduler::OnActivated(
    uint64_t version,
    TimePoint now) {
  active_version_ = std::max(active_version_, version);
  std::erase_if(sources_,
                [&](const Source& s) { return s.version <= active_version_; });
  return NextFetch(now);
}

std::optional<ConfigurationFetch> ConfigurationFetchScheduler::Tick(
    TimePoint now) {
  return NextFetch(now);
}

// Returns a fetch from the source of the highest version not requested yet,
// unless a request for at least that version was sent less than
// kFetchHedgeDelay ago.
std::optional<ConfigurationFetch> ConfigurationFetchScheduler::NextFetch(
    TimePoint now) {
  Source* best = nullptr;
  for (Source& source : sources_) {
    if (!source.requested && (!best || source.version > best->version)) {
      best = &source;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const bool request_in_flight =
      std::any_of(sources_.begin(), sources_.end(), [&](const Source& s) {
        return s.requested && s.version >= best->version &&
               now - s.requested_at < kFetchHedgeDelay;
      });
  if (request_in_flight) {
    return std::nullopt;
  }
  best->requested = true;
  best->requested_at = now;
  return ConfigurationFetch{.source = best->instance,
                            .version = best->version,
                            .have_version = active_version_};
}

}  // namespace greengage
