#include "greengage/coordination/configuration_update.h"

#include <chrono>
#include <utility>

namespace greengage {

namespace {

constexpr std::chrono::milliseconds kRetryDelay{200};

// An object that does not exist has version 0 and no text.
std::optional<PlatformObject> ObjectOrNone(
    const Result<PlatformObject>& object) {
  if (object) {
    return *object;
  }
  if (object.last_reason().kind == FailureKind::kNotFound) {
    return PlatformObject{};
  }
  return std::nullopt;
}

Failure Conflict(uint64_t winner) {
  return {FailureKind::kConflict, ToString(ConfigurationObject()),
          "version " + std::to_string(winner) + " came first"};
}

}  // namespace

ConfigurationUpdate::ConfigurationUpdate(const std::string& text,
                                         std::string attempt,
                                         std::optional<uint64_t> expected,
                                         TimePoint deadline)
    : text_(StripAttempts(text)),
      attempt_(std::move(attempt)),
      expected_(expected),
      deadline_(deadline) {}

UpdateStep ConfigurationUpdate::Next(TimePoint now) {
  if (phase_ != Phase::kFinished && now >= deadline_) {
    FinishAtDeadline();
  }
  if (phase_ == Phase::kFinished) {
    return result_;
  }
  if (retry_at_ && now < *retry_at_) {
    return WaitStep{*retry_at_};
  }
  retry_at_.reset();
  if (phase_ == Phase::kWriting) {
    return WriteStep{base_, value_};
  }
  return ReadStep{};
}

void ConfigurationUpdate::OnRead(TimePoint now,
                                 const Result<PlatformObject>& object) {
  if (phase_ == Phase::kReading) {
    OnBase(now, object);
    return;
  }
  const std::optional<PlatformObject> present = ObjectOrNone(object);
  if (!present) {
    Retry(now, object.last_reason());
    return;
  }
  OnReadBack(*present);
}

void ConfigurationUpdate::OnBase(TimePoint now,
                                 const Result<PlatformObject>& object) {
  const std::optional<PlatformObject> present = ObjectOrNone(object);
  if (!present) {
    Retry(now, object.last_reason());
    return;
  }
  base_ = present->version;
  if (expected_ && *expected_ != base_) {
    Finish(UpdateOutcome::kConflict, base_, base_, Conflict(base_));
    return;
  }
  std::vector<Attempt> attempts = ParseAttempts(present->value);
  attempts.insert(attempts.begin(), Attempt{attempt_, base_});
  value_ = PrependAttempts(attempts, text_);
  phase_ = Phase::kWriting;
}

void ConfigurationUpdate::OnReadBack(const PlatformObject& object) {
  if (object.version == base_) {
    phase_ = Phase::kWriting;
    return;
  }
  SettleFromHistory(object);
}

// The header of the present text names the attempts that led to it. It proves
// that this one took effect if it is among them, and that it never does if
// another one replaced the version that it expects.
void ConfigurationUpdate::SettleFromHistory(const PlatformObject& object) {
  const std::vector<Attempt> attempts = ParseAttempts(object.value);
  uint64_t version = object.version;
  for (const Attempt& attempt : attempts) {
    if (attempt.token == attempt_) {
      const bool newest = version == object.version;
      Finish(newest ? UpdateOutcome::kAccepted : UpdateOutcome::kSuperseded,
             version, object.version,
             newest ? Failure{} : Conflict(object.version));
      return;
    }
    if (attempt.replaced == base_) {
      Finish(UpdateOutcome::kConflict, version, object.version,
             Conflict(version));
      return;
    }
    version = attempt.replaced;
  }
  Finish(UpdateOutcome::kUnknown, 0, object.version,
         {FailureKind::kConflict, ToString(ConfigurationObject()),
          "version " + std::to_string(object.version) +
              " is present, and its history does not reach back to version " +
              std::to_string(base_)});
}

void ConfigurationUpdate::OnWritten(TimePoint now, const PlatformWrite& write) {
  switch (write.outcome) {
    case WriteOutcome::kDone:
      Finish(UpdateOutcome::kAccepted, write.version, write.version, {});
      return;
    case WriteOutcome::kConflict:
      if (maybe_written_) {
        phase_ = Phase::kSettling;  // It may have lost against itself.
        return;
      }
      Finish(UpdateOutcome::kConflict, write.version, write.version,
             Conflict(write.version));
      return;
    case WriteOutcome::kUnavailable:
      phase_ = maybe_written_ ? Phase::kSettling : Phase::kWriting;
      Retry(now, write.reason);
      return;
    case WriteOutcome::kAmbiguous:
      maybe_written_ = true;
      phase_ = Phase::kSettling;
      Retry(now, write.reason);
      return;
    case WriteOutcome::kNotFound:
    case WriteOutcome::kRejected:
      Finish(
          maybe_written_ ? UpdateOutcome::kUnknown : UpdateOutcome::kRejected,
          0, base_, write.reason);
      return;
  }
}

void ConfigurationUpdate::Retry(TimePoint now, const Failure& reason) {
  last_reason_ = reason;
  retry_at_ = now + kRetryDelay;
}

void ConfigurationUpdate::FinishAtDeadline() {
  Finish(maybe_written_ ? UpdateOutcome::kUnknown : UpdateOutcome::kUnavailable,
         0, base_, last_reason_);
}

void ConfigurationUpdate::Finish(UpdateOutcome outcome,
                                 uint64_t version,
                                 uint64_t latest_version,
                                 Failure reason) {
  phase_ = Phase::kFinished;
  result_ = {outcome, version, latest_version, std::move(reason)};
}

}  // namespace greengage
