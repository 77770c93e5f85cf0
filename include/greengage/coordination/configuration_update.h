// Decides the steps that replace the configuration in the platform.
#ifndef GREENGAGE_COORDINATION_CONFIGURATION_UPDATE_H_
#define GREENGAGE_COORDINATION_CONFIGURATION_UPDATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "greengage/coordination/attempt_header.h"
#include "greengage/state/platform_object.h"
#include "greengage/state/result.h"
#include "greengage/state/time.h"

namespace greengage {

enum class UpdateOutcome : uint8_t {
  kAccepted,     // It took effect as `version`, the newest.
  kSuperseded,   // It took effect as `version`; `latest_version` has replaced
                 // it.
  kConflict,     // It never takes effect: `version` came first.
  kRejected,     // It never takes effect: the platform refused the text.
  kUnavailable,  // It never takes effect: nothing was sent in time.
  kUnknown,      // The platform could not be asked in time, or its history no
                 // longer tells.
};

struct UpdateResult {
  UpdateOutcome outcome = UpdateOutcome::kUnknown;
  uint64_t version = 0;
  uint64_t latest_version = 0;  // The newest version seen.
  Failure reason;               // Unless kAccepted.
};

// What to do next.
struct ReadStep {};
struct WriteStep {
  uint64_t expected = 0;
  std::string value;
};
struct WaitStep {
  TimePoint until;
};
using UpdateStep = std::variant<ReadStep, WriteStep, WaitStep, UpdateResult>;

// One operator's attempt. All its writes carry the same token and expect the
// same version, so that at most one of them takes effect; a lost answer is
// therefore settled by reading back, and by writing again if the version is
// still the expected one. Does no I/O; copyable, so that a model check can
// branch.
class ConfigurationUpdate {
 public:
  // `attempt` is unique among all attempts. With `expected`, any other present
  // version is a conflict. Steps end at `deadline`.
  ConfigurationUpdate(const std::string& text,
                      std::string attempt,
                      std::optional<uint64_t> expected,
                      TimePoint deadline);

  // The next step. After a ReadStep call OnRead(), after a WriteStep
  // OnWritten(); after a WaitStep call Next() again at that time.
  UpdateStep Next(TimePoint now);

  void OnRead(TimePoint now, const Result<PlatformObject>& object);
  void OnWritten(TimePoint now, const PlatformWrite& write);

 private:
  enum class Phase : uint8_t { kReading, kWriting, kSettling, kFinished };

  void OnBase(TimePoint now, const Result<PlatformObject>& object);
  void OnReadBack(const PlatformObject& object);
  void SettleFromHistory(const PlatformObject& object);
  void Retry(TimePoint now, const Failure& reason);
  void Finish(UpdateOutcome outcome,
              uint64_t version,
              uint64_t latest_version,
              Failure reason);
  void FinishAtDeadline();

  std::string text_;
  std::string attempt_;
  std::optional<uint64_t> expected_;
  TimePoint deadline_;
  Phase phase_ = Phase::kReading;
  uint64_t base_ = 0;  // The version to replace.
  std::string value_;  // The text with its header.
  bool maybe_written_ = false;
  std::optional<TimePoint> retry_at_;
  Failure last_reason_;
  UpdateResult result_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_CONFIGURATION_UPDATE_H_
