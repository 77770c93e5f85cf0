// Typed failures. Every operation that can fail names its reason with a
// FailureKind; the text beside it only tells people where it happened.
#ifndef GREENGAGE_STATE_FAILURE_H_
#define GREENGAGE_STATE_FAILURE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace greengage {

// What went wrong. Values are not sent between processes; use the name.
enum class FailureKind : uint8_t {
  kInvalidArgument,  // A caller or operator passed a value that is not allowed.
  kUnreadableFile,   // A file does not exist or cannot be read.
  kInvalidSyntax,    // Text is not valid INI, JSON or protobuf.
  kUnknownSection,   // An INI section that no setting has.
  kUnknownKey,       // An INI key that its section does not have.
  kMissingKey,       // A required INI or JSON key is absent.
  kOutOfRange,       // A value is outside its allowed range.
  kDuplicate,        // A name or a key range is given twice.
  kIncomplete,       // Shard ranges leave a gap.
  kAddressInUse,     // Another process listens on the port.
  kConnectFailed,    // No connection to the peer could be opened.
  kConnectionClosed,  // The peer closed the connection too early.
  kSilentConnection,  // The connection made no progress in its time.
  kMalformedMessage,  // The peer sent something outside the protocol.
  kTooLarge,          // A message is over its size limit.
  kTimedOut,          // The deadline passed.
  kCancelled,         // The operation was cancelled by its owner.
  kOverloaded,        // A limit on work in flight or queued was reached.
  kUnavailable,       // The service asked for cannot be used now.
  kNotFound,          // No such object, service, shard or request.
  kConflict,          // A conditional update lost against another.
  kStaleVersion,      // The version asked for is no longer held.
  kShuttingDown,      // The process takes no new work.
};

// The name of `kind` in snake_case, as printed in logs and JSON.
std::string_view FailureKindName(FailureKind kind);

// One failure: its type, what it concerns (file, section and key, end point
// or object), and a sentence for people with the values that are allowed.
struct Failure {
  FailureKind kind = FailureKind::kInvalidArgument;
  std::string subject;
  std::string detail;
};

// One line for people: "kind: subject: detail".
std::string Describe(const Failure& failure);

}  // namespace greengage

#endif  // GREENGAGE_STATE_FAILURE_H_
