#include "greengage/state/outcome.h"

namespace greengage {

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unnamed";
}

std::string_view RefusalName(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNone:
      return "none";
    case Refusal::kOverloaded:
      return "overloaded";
    case Refusal::kDeadline:
      return "deadline";
    case Refusal::kNoReplica:
      return "no_replica";
    case Refusal::kVersionNotHeld:
      return "version_not_held";
    case Refusal::kRangeNotHeld:
      return "range_not_held";
    case Refusal::kShed:
      return "shed";
    case Refusal::kDraining:
      return "draining";
    case Refusal::kConnectionLost:
      return "connection_lost";
    case Refusal::kMalformedAnswer:
      return "malformed_answer";
    case Refusal::kCancelled:
      return "cancelled";
    case Refusal::kPlatformDown:
      return "platform_down";
    case Refusal::kAlreadyClaimed:
      return "already_claimed";
    case Refusal::kRequestExpired:
      return "request_expired";
    case Refusal::kNotReady:
      return "not_ready";
  }
  return "unnamed";
}

}  // namespace greengage
