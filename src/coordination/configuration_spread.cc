#include "greengage/coordination/configuration_spread.h"

#include <algorithm>

namespace greengage {

namespace {

constexpr std::chrono::milliseconds kFetchPatience{700};
constexpr size_t kMaxSources = 8;

}  // namespace

std::optional<ConfigurationFetch> ConfigurationSpread::OnHeard(
    uint64_t version,
    const Instance& source,
    TimePoint now) {
  if (!Admits(version)) {
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

std::optional<ConfigurationFetch> ConfigurationSpread::OnFailed(
    std::string_view source,
    TimePoint now) {
  std::erase_if(sources_, [&](const Source& s) {
    return s.asked && s.instance.id == source;
  });
  return Next(now);
}

std::optional<ConfigurationFetch> ConfigurationSpread::OnInForce(
    uint64_t version,
    TimePoint now) {
  in_force_ = std::max(in_force_, version);
  std::erase_if(sources_,
                [&](const Source& s) { return s.version <= in_force_; });
  return Next(now);
}

std::optional<ConfigurationFetch> ConfigurationSpread::Tick(TimePoint now) {
  return Next(now);
}

// The untried source of the highest version, unless one of at least that
// version has been asked so lately that its answer may still come.
std::optional<ConfigurationFetch> ConfigurationSpread::Next(TimePoint now) {
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
                            .have_version = in_force_};
}

}  // namespace greengage
