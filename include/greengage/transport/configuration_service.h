// Keeps the active configuration of an instance up to date.
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

// The text of a configuration file stored in the platform, with its version.
struct ConfigurationText {
  uint64_t version = 0;
  std::string text;
};

// Thread-safe. The active version never decreases.
class ConfigurationService
    : public std::enable_shared_from_this<ConfigurationService> {
 public:
  using TextCallback = std::function<void(Result<ConfigurationText>)>;

  struct Hooks {
    // Waits until the platform has a version above `after`, and returns it.
    // Fails with kStaleVersion on a timeout, and with kUnavailable if the
    // platform cannot be reached.
    std::function<void(uint64_t after, TextCallback)> watch;
    // Fetches the configuration of another instance, which is expected to be
    // newer than the active one.
    std::function<void(const ConfigurationFetch&, TextCallback)> fetch;
    // Runs after a newer configuration has become active.
    std::function<void(const ConfigurationPtr&)> on_activated;
  };

  ConfigurationService(boost::asio::io_context& context,
                       EventLog* events,
                       Hooks hooks);

  // Returns the active configuration, or null if there is none yet.
  ConfigurationPtr current() const;

  // Returns the text of the active configuration, or nullopt if there is none
  // yet.
  std::optional<ConfigurationText> current_text() const;

  // Returns the text of `version` if it is among the most recent active
  // versions.
  std::optional<ConfigurationText> recent_text(uint64_t version) const;

  // Starts or stops watching the platform.
  void SetWatching(bool watching);

  // Handles the announcement of another instance that `version` is active
  // there.
  void OnVersionAnnounced(uint64_t version, const Instance& source);

  // Activates `text` if its version is above the active one. Fails with
  // kStaleVersion if it is not, or with the first failure if the text is
  // invalid.
  Result<Done> Activate(const ConfigurationText& text);

  // Returns true if the platform was unreachable in the latest watch.
  bool platform_down() const { return platform_down_; }

  void Stop();

 private:
  void Watch();
  void OnWatched(Result<ConfigurationText> result);
  void SetPlatformDown(bool down);
  void Fetch(const std::optional<ConfigurationFetch>& fetch);
  void OnFetched(const std::string& source, Result<ConfigurationText> result);
  void ScheduleTick();
  void OnTick();
  uint64_t version() const;

  EventLog* const events_;
  const Hooks hooks_;
  std::atomic<bool> platform_down_{false};
  std::mutex activate_mutex_;  // Serializes Activate().
  mutable std::mutex mutex_;
  boost::asio::steady_timer retry_timer_;
  ConfigurationPtr current_;
  std::deque<ConfigurationText> texts_;  // Newest first.
  ConfigurationFetchScheduler spread_;
  boost::asio::steady_timer tick_timer_;
  // The highest version from the platform that could not be activated. The
  // watch continues after it.
  uint64_t rejected_version_ = 0;
  bool watching_ = false;
  bool watch_in_flight_ = false;
  bool stopped_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_CONFIGURATION_SERVICE_H_
