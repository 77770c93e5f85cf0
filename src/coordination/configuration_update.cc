#include "greengage/coordination/configuration_update.h"

#include <chrono>
#include <utility>

namespace greengage {

namespace {

constexpr std::chrono::milliseconds kRetryDelay{200};

// Returns an empty object with version 0 if the object does not exist, and
// nullopt if it could not be read.
std::optional<PlatformObject> ObjectOrEmpty(
    const Result<PlatformObject>& object) {
  if (object) {
    return *object;
  }
  if (object.last_reason().kind == FailureKind::kNotFound) {
    return PlatformObject{};
  }
  return std::nullopt;
}

Failure Conflict(uint64_t version) {
  return {FailureKind::kConflict, ToString(ConfigurationObject()),
          "version " + std::to_string(version) + " was written first"};
}

}  // namespace

ConfigurationUpdate::ConfigurationUpdate(const std::string& text,
                                         std::string attempt,
                                         std::optional<uint64_t> expected,
                                         TimePoint deadline)
    : text_(StripAttempts(text)),
      attempt_(std::move(attempt)),
      expected_version_(expected),
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
    return WriteStep{base_version_, value_};
  }
  return ReadStep{};
}

void ConfigurationUpdate::OnRead(TimePoint now,
                                 const Result<PlatformObject>& object) {
  if (phase_ == Phase::kReading) {
    OnBaseRead(now, object);
    return;
  }
  const std::optional<PlatformObject> current = ObjectOrEmpty(object);
  if (!current) {
    Retry(now, object.last_reason());
    return;
  }
  OnReadBack(*current);
}

void ConfigurationUpdate::OnBaseRead(TimePoint now,
                                     const Result<PlatformObject>& object) {
  const std::optional<PlatformObject> current = ObjectOrEmpty(object);
  if (!current) {
    Retry(now, object.last_reason());
    return;
  }
  base_version_ = current->version;
  if (expected_version_ && *expected_version_ != base_version_) {
    Finish(UpdateOutcome::kConflict, base_version_, base_version_,
           Conflict(base_version_));
    return;
  }
  std::vector<Attempt> attempts = ParseAttempts(current->value);
  attempts.insert(attempts.begin(), Attempt{attempt_, base_version_});
  value_ = PrependAttempts(attempts, text_);
  phase_ = Phase::kWriting;
}

void ConfigurationUpdate::OnReadBack(const PlatformObject& object) {
  if (object.version == base_version_) {
    phase_ = Phase::kWriting;
    return;
  }
  ResolveFromHistory(object);
}

// The header of the current text lists the attempts that led to it. This
// attempt took effect if it is among them, and never will if another attempt
// replaced its base version.
void ConfigurationUpdate::ResolveFromHistory(const PlatformObject& object) {
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
    if (attempt.replaced == base_version_) {
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
              std::to_string(base_version_)});
}

void ConfigurationUpdate::OnWritten(TimePoint now, const PlatformWrite& write) {
  switch (write.outcome) {
    case WriteOutcome::kDone:
      Finish(UpdateOutcome::kAccepted, write.version, write.version, {});
      return;
    case WriteOutcome::kConflict:
      if (may_be_written_) {
        // The conflicting write may be an earlier one of this attempt.
        phase_ = Phase::kVerifying;
        return;
      }
      Finish(UpdateOutcome::kConflict, write.version, write.version,
             Conflict(write.version));
      return;
    case WriteOutcome::kUnavailable:
      phase_ = may_be_written_ ? Phase::kVerifying : Phase::kWriting;
      Retry(now, write.reason);
      return;
    case WriteOutcome::kAmbiguous:
      may_be_written_ = true;
      phase_ = Phase::kVerifying;
      Retry(now, write.reason);
      return;
    case WriteOutcome::kNotFound:
    case WriteOutcome::kRejected:
      Finish(
          may_be_written_ ? UpdateOutcome::kUnknown : UpdateOutcome::kRejected,
          0, base_version_, write.reason);
      return;
  }
}

void ConfigurationUpdate::Retry(TimePoint now, const Failure& reason) {
  last_reason_ = reason;
  retry_at_ = now + kRetryDelay;
}

void ConfigurationUpdate::FinishAtDeadline() {
  Finish(
      may_be_written_ ? UpdateOutcome::kUnknown : UpdateOutcome::kUnavailable,
      0, base_version_, last_reason_);
}

void ConfigurationUpdate::Finish(UpdateOutcome outcome,
                                 uint64_t version,
                                 uint64_t latest_version,
                                 Failure reason) {
  phase_ = Phase::kFinished;
  result_ = {outcome, version, latest_version, std::move(reason)};
}

}  // namespace greengage
