#include "greengage/state/failure.h"

namespace greengage {

std::string_view FailureKindName(FailureKind kind) {
  switch (kind) {
    case FailureKind::kInvalidArgument:
      return "invalid_argument";
    case FailureKind::kUnreadableFile:
      return "unreadable_file";
    case FailureKind::kInvalidSyntax:
      return "invalid_syntax";
    case FailureKind::kUnknownSection:
      return "unknown_section";
    case FailureKind::kUnknownKey:
      return "unknown_key";
    case FailureKind::kMissingKey:
      return "missing_key";
    case FailureKind::kOutOfRange:
      return "out_of_range";
    case FailureKind::kDuplicate:
      return "duplicate";
    case FailureKind::kIncomplete:
      return "incomplete";
    case FailureKind::kAddressInUse:
      return "address_in_use";
    case FailureKind::kConnectFailed:
      return "connect_failed";
    case FailureKind::kConnectionClosed:
      return "connection_closed";
    case FailureKind::kSilentConnection:
      return "silent_connection";
    case FailureKind::kMalformedMessage:
      return "malformed_message";
    case FailureKind::kTooLarge:
      return "too_large";
    case FailureKind::kTimedOut:
      return "timed_out";
    case FailureKind::kCancelled:
      return "cancelled";
    case FailureKind::kOverQuota:
      return "over_quota";
    case FailureKind::kOverloaded:
      return "overloaded";
    case FailureKind::kUnavailable:
      return "unavailable";
    case FailureKind::kUnauthorized:
      return "unauthorized";
    case FailureKind::kNotFound:
      return "not_found";
    case FailureKind::kConflict:
      return "conflict";
    case FailureKind::kStaleVersion:
      return "stale_version";
    case FailureKind::kShuttingDown:
      return "shutting_down";
  }
  return "unnamed";
}

std::string Describe(const Failure& failure) {
  std::string text(FailureKindName(failure.kind));
  if (!failure.subject.empty()) {
    text += ": " + failure.subject;
  }
  if (!failure.detail.empty()) {
    text += ": " + failure.detail;
  }
  return text;
}

}  // namespace greengage
