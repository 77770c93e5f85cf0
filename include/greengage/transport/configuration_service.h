// Keeps the configuration in force at one instance up to date.
#ifndef GREENGAGE_TRANSPORT_CONFIGURATION_SERVICE_H_
#define GREENGAGE_TRANSPORT_CONFIGURATION_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "greengage/coordination/configuration_fetch_scheduler.h"
#include "greengage/state/configuration.h"
#include "greengage/state/event_log.h"
#include "greengage/state/instance.h"
#include "greengage/state/result.h"

namespace greengage {

// A configuration file as the platform holds it.
struct ConfigurationText {
  uint64_t version = 0;
  std::string text;
};

// Thread-safe. The version in force only ever rises.
class ConfigurationService
    : public std::enable_shared_from_this<ConfigurationService> {
 public:
  using TextCallback = std::function<void(Result<ConfigurationText>)>;

  struct Hooks {
    // Waits for a version above `after` at the platform and gives it; fails
    // with kStaleVersion where there was none in the waiting time, and with
    // kUnavailable where the platform cannot be reached.
    std::function<void(uint64_t after, TextCallback)> watch;
    // Asks another instance for its version, which should be above the one
    // that this instance has.
    std::function<void(const ConfigurationFetch&, TextCallback)> fetch;
    // A newer configuration is in force.
    std::function<void(const ConfigurationPtr&)> on_activated;
  };

  ConfigurationService(boost::asio::io_context& context,
                       EventLog* events,
                       Hooks hooks);

  ConfigurationPtr current() const;

  // The text in force; empty before there is one.
  std::optional<ConfigurationText> current_text() const;

  // The text of `version`, if it is among the last few that were in force.
  std::optional<ConfigurationText> recent_text(uint64_t version) const;

  // Begins or ends to watch the platform.
  void SetWatching(bool watching);

  // Another instance has told that it has `version` in force.
  void OnVersionAnnounced(uint64_t version, const Instance& source);

  // Puts a text in force if its version is above the present one. Fails with
  // kStaleVersion, or with the first failure of a text that is not valid.
  Result<Done> Activate(const ConfigurationText& text);

  // Whether the last call to the platform went unanswered.
  bool platform_down() const { return platform_down_; }

  void Stop();

 private:
  void Watch();
  void OnWatched(Result<ConfigurationText> result);
  void OnPlatformState(bool down);
  void Fetch(const std::optional<ConfigurationFetch>& fetch);
  void OnFetched(const std::string& source, Result<ConfigurationText> result);
  void ArmTick();
  void OnTick();
  uint64_t version() const;

  EventLog* const events_;
  const Hooks hooks_;
  std::atomic<bool> platform_down_{false};
  std::mutex activate_mutex_;  // Held while one text is put in force.
  mutable std::mutex mutex_;
  boost::asio::steady_timer retry_timer_;
  ConfigurationPtr current_;
  std::deque<ConfigurationText> texts_;  // The newest first.
  ConfigurationFetchScheduler spread_;
  boost::asio::steady_timer tick_timer_;
  // The highest version that the platform gave and that could not be put in
  // force; the watch goes on behind it.
  uint64_t refused_ = 0;
  bool watching_ = false;
  bool watch_open_ = false;
  bool stopped_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_CONFIGURATION_SERVICE_H_
