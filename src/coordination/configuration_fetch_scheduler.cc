#include "greengage/coordination/configuration_fetch_scheduler.h"

#include <algorithm>

namespace greengage {

namespace {

constexpr std::chrono::milliseconds kFetchPatience{700};
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
  return Next(now);
}

std::optional<ConfigurationFetch> ConfigurationFetchScheduler::OnFetchFailed(
    std::string_view source,
    TimePoint now) {
  std::erase_if(sources_, [&](const Source& s) {
    return s.asked && s.instance.id == source;
  });
  return Next(now);
}

std::optional<ConfigurationFetch> ConfigurationFetchScheduler::OnActivated(
    uint64_t version,
    TimePoint now) {
  active_version_ = std::max(active_version_, version);
  std::erase_if(sources_,
                [&](const Source& s) { return s.version <= active_version_; });
  return Next(now);
}

std::optional<ConfigurationFetch> ConfigurationFetchScheduler::Tick(
    TimePoint now) {
  return Next(now);
}

// The untried source of the highest version, unless one of at least that
// version has been asked so lately that its answer may still come.
std::optional<ConfigurationFetch> ConfigurationFetchScheduler::Next(
    TimePoint now) {
  Source* best = nullptr;
  for (Source& source : sources_) {
    if (!source.asked && (!best || source.version > best->version)) {
      best = &source;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const bool waiting =
      std::any_of(sources_.begin(), sources_.end(), [&](const Source& s) {
        return s.asked && s.version >= best->version &&
               now - s.asked_at < kFetchPatience;
      });
  if (waiting) {
    return std::nullopt;
  }
  best->asked = true;
  best->asked_at = now;
  return ConfigurationFetch{.source = best->instance,
                            .version = best->version,
                            .have_version = active_version_};
}

}  // namespace greengage
