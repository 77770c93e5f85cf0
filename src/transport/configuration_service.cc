#include "greengage/transport/configuration_service.h"

#include <algorithm>

#include "greengage/protocol/configuration_file.h"
#include "greengage/transport/log.h"
#include "transport/clock.h"

namespace greengage {
namespace {

// Delay before the next watch after a failed one.
constexpr std::chrono::milliseconds kWatchRetryDelay{500};

// Interval between checks for a fetch that is so slow that another peer should
// be asked as well.
constexpr std::chrono::milliseconds kFetchCheckInterval{100};

// Number of recent versions kept as the base of deltas.
constexpr size_t kMaxRecentTexts = 4;

}  // namespace

ConfigurationService::ConfigurationService(boost::asio::io_context& context,
                                           EventLog* events,
                                           Hooks hooks)
    : events_(events),
      hooks_(std::move(hooks)),
      retry_timer_(context),
      tick_timer_(context) {}

ConfigurationPtr ConfigurationService::current() const {
  const std::lock_guard lock(mutex_);
  return current_;
}

std::optional<ConfigurationText> ConfigurationService::current_text() const {
  const std::lock_guard lock(mutex_);
  if (!current_) {
    return std::nullopt;
  }
  return texts_.front();
}

std::optional<ConfigurationText> ConfigurationService::recent_text(
    uint64_t version) const {
  const std::lock_guard lock(mutex_);
  for (const ConfigurationText& text : texts_) {
    if (text.version == version) {
      return text;
    }
  }
  return std::nullopt;
}

uint64_t ConfigurationService::version() const {
  const std::lock_guard lock(mutex_);
  return current_ ? current_->version : 0;
}

void ConfigurationService::SetWatching(bool watching) {
  {
    const std::lock_guard lock(mutex_);
    if (watching_ == watching) {
      return;
    }
    watching_ = watching;
  }
  events_->Record(
      NowWall(), watching ? EventKind::kWatchStarted : EventKind::kWatchStopped,
      "", "configuration");
  Watch();
}

void ConfigurationService::Watch() {
  uint64_t after = 0;
  {
    const std::lock_guard lock(mutex_);
    if (!watching_ || watch_in_flight_ || stopped_) {
      return;
    }
    watch_in_flight_ = true;
    after = std::max(current_ ? current_->version : 0, rejected_version_);
  }
  hooks_.watch(after,
               [weak = weak_from_this()](Result<ConfigurationText> result) {
                 if (const auto self = weak.lock()) {
                   self->OnWatched(std::move(result));
                 }
               });
}

void ConfigurationService::OnWatched(Result<ConfigurationText> result) {
  const bool down =
      !result && result.last_reason().kind == FailureKind::kUnavailable;
  SetPlatformDown(down);
  const bool failed =
      !result && result.last_reason().kind != FailureKind::kStaleVersion;
  const bool rejected = result && !Activate(*result).ok();
  const std::lock_guard lock(mutex_);
  watch_in_flight_ = false;
  if (rejected) {
    rejected_version_ = std::max(rejected_version_, result->version);
  }
  if (stopped_) {
    return;
  }
  retry_timer_.expires_after(failed ? kWatchRetryDelay
                                    : std::chrono::milliseconds(0));
  retry_timer_.async_wait([weak = weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->Watch();
    }
  });
}

void ConfigurationService::SetPlatformDown(bool down) {
  if (platform_down_.exchange(down) != down) {
    events_->Record(NowWall(),
                    down ? EventKind::kPlatformDown : EventKind::kPlatformBack,
                    "", "platform");
  }
}

void ConfigurationService::OnVersionAnnounced(uint64_t announced_version,
                                              const Instance& source) {
  std::optional<ConfigurationFetch> fetch;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) {
      return;
    }
    fetch = spread_.OnVersionAnnounced(announced_version, source, Now());
  }
  if (fetch) {
    events_->Record(NowWall(), EventKind::kConfigurationLearned, "",
                    std::to_string(announced_version), source.id);
  }
  Fetch(fetch);
}

void ConfigurationService::Fetch(
    const std::optional<ConfigurationFetch>& fetch) {
  if (!fetch) {
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    ScheduleTick();
  }
  hooks_.fetch(*fetch, [weak = weak_from_this(), source = fetch->source.id](
                           Result<ConfigurationText> result) {
    if (const auto self = weak.lock()) {
      self->OnFetched(source, std::move(result));
    }
  });
}

void ConfigurationService::OnFetched(const std::string& source,
                                     Result<ConfigurationText> result) {
  if (result && Activate(*result)) {
    return;
  }
  std::optional<ConfigurationFetch> next;
  {
    const std::lock_guard lock(mutex_);
    next = spread_.OnFetchFailed(source, Now());
  }
  Fetch(next);
}

// Requires mutex_ to be held.
void ConfigurationService::ScheduleTick() {
  tick_timer_.expires_after(kFetchCheckInterval);
  tick_timer_.async_wait([weak = weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->OnTick();
    }
  });
}

void ConfigurationService::OnTick() {
  std::optional<ConfigurationFetch> next;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_ || spread_.caught_up()) {
      return;
    }
    next = spread_.Tick(Now());
    if (!next) {
      ScheduleTick();
    }
  }
  Fetch(next);
}

Result<Done> ConfigurationService::Activate(const ConfigurationText& text) {
  const std::lock_guard activate_lock(activate_mutex_);
  if (text.version <= version()) {
    return Failure{FailureKind::kStaleVersion,
                   "configuration " + std::to_string(text.version),
                   "the active version is not older"};
  }
  Validated<Configuration> parsed =
      ParseConfiguration(text.text, "configuration", text.version);
  if (!parsed) {
    LogFailure(LogLevel::kError, parsed.failures().front());
    return parsed.failures().front();
  }
  const auto configuration =
      std::make_shared<const Configuration>(std::move(parsed).value());
  std::optional<ConfigurationFetch> next;
  {
    const std::lock_guard lock(mutex_);
    current_ = configuration;
    texts_.push_front(text);
    if (texts_.size() > kMaxRecentTexts) {
      texts_.pop_back();
    }
    next = spread_.OnActivated(text.version, Now());
  }
  hooks_.on_activated(configuration);
  events_->Record(NowWall(), EventKind::kConfigurationInForce, "",
                  std::to_string(text.version));
  Fetch(next);
  return Done{};
}

void ConfigurationService::Stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  retry_timer_.cancel();
  tick_timer_.cancel();
}

}  // namespace greengage
