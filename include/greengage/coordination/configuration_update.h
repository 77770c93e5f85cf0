// State machine that replaces the configuration in the platform.
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
  kAccepted,     // The update is the latest version, `version`.
  kSuperseded,   // The update became `version`; `latest_version` replaced it.
  kConflict,     // The update never takes effect: `version` was written first.
  kRejected,     // The update never takes effect: the platform rejected it.
  kUnavailable,  // The update never takes effect: it was not sent in time.
  kUnknown,      // The platform was not reachable in time, or its history no
                 // longer reaches back to the update.
};

struct UpdateResult {
  UpdateOutcome outcome = UpdateOutcome::kUnknown;
  uint64_t version = 0;
  uint64_t latest_version = 0;  // The newest version seen.
  Failure reason;               // Unless kAccepted.
};

// The next step: an operation to carry out, or the result.
struct ReadStep {};
struct WriteStep {
  uint64_t expected = 0;
  std::string value;
};
struct WaitStep {
  TimePoint until;
};
using UpdateStep = std::variant<ReadStep, WriteStep, WaitStep, UpdateResult>;

// One attempt by one operator. All its writes carry the same token and expect
// the same version, so at most one of them takes effect. After an ambiguous
// write, the object is read back, and written again if its version is still the
// expected one. Does no I/O and is not thread-safe. Copyable, so that a model
// checker can branch.
class ConfigurationUpdate {
 public:
  // `attempt` must be unique among all attempts. If `expected` is set, any
  // other current version is a conflict. No step is returned after `deadline`.
  ConfigurationUpdate(const std::string& text,
                      std::string attempt,
                      std::optional<uint64_t> expected,
                      TimePoint deadline);

  // Returns the next step. After a ReadStep call OnRead(), after a WriteStep
  // call OnWritten(), and after a WaitStep call Next() again at its time.
  UpdateStep Next(TimePoint now);

  void OnRead(TimePoint now, const Result<PlatformObject>& object);
  void OnWritten(TimePoint now, const PlatformWrite& write);

 private:
  enum class Phase : uint8_t { kReading, kWriting, kVerifying, kFinished };

  void OnBaseRead(TimePoint now, const Result<PlatformObject>& object);
  void OnReadBack(const PlatformObject& object);
  void ResolveFromHistory(const PlatformObject& object);
  void Retry(TimePoint now, const Failure& reason);
  void Finish(UpdateOutcome outcome,
              uint64_t version,
              uint64_t latest_version,
              Failure reason);
  void FinishAtDeadline();

  std::string text_;
  std::string attempt_;
  std::optional<uint64_t> expected_version_;
  TimePoint deadline_;
  Phase phase_ = Phase::kReading;
  uint64_t base_version_ = 0;  // The version to replace.
  std::string value_;          // The text with its attempt header.
  bool may_be_written_ = false;
  std::optional<TimePoint> retry_at_;
  Failure last_reason_;
  UpdateResult result_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_CONFIGURATION_UPDATE_H_
