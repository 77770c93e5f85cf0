// Typed failures. Every operation that can fail reports its reason as a
// FailureKind; the accompanying text only helps people to locate the cause.
#ifndef GREENGAGE_STATE_FAILURE_H_
#define GREENGAGE_STATE_FAILURE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace greengage {

// The numeric values are not sent between processes; FailureKindName() is.
enum class FailureKind : uint8_t {
  kInvalidArgument,  // A caller or operator passed a value that is not allowed.
  kUnreadableFile,   // A file does not exist or cannot be read.
  kInvalidSyntax,    // Text is not valid INI, JSON or protobuf.
  kUnknownSection,   // An INI section that does not exist.
  kUnknownKey,       // An INI key that does not exist in its section.
  kMissingKey,       // A required INI or JSON key is absent.
  kOutOfRange,       // A value is outside its allowed range.
  kDuplicate,        // A name or a key range is given twice.
  kIncomplete,       // Shard ranges leave a gap.
  kAddressInUse,     // Another process listens on the port.
  kConnectFailed,    // No connection to the peer could be opened.
  kConnectionClosed,  // The peer closed the connection too early.
  kSilentConnection,  // The connection made no progress within its timeout.
  kMalformedMessage,  // The peer violated the protocol.
  kTooLarge,          // A message exceeds its size limit.
  kTimedOut,          // The deadline passed.
  kCancelled,         // The operation was cancelled by its owner.
  kOverQuota,         // The caller's organisation has used up its quota.
  kOverloaded,        // A limit on work in flight or queued was reached.
  kUnavailable,       // The requested service cannot be used now.
  kNotFound,          // No such object, service, shard or request.
  kUnauthorized,      // The caller has no key of the configuration.
  kConflict,          // Another update preceded a conditional update.
  kStaleVersion,      // The requested version is no longer held.
  kShuttingDown,      // The process accepts no new work.
};

// Returns the name of `kind` in snake_case, as used in logs and JSON.
std::string_view FailureKindName(FailureKind kind);

// One failure. `subject` names what it concerns: a file, a section and key, an
// endpoint or an object. `detail` is a sentence for people that gives the
// allowed values.
struct Failure {
  FailureKind kind = FailureKind::kInvalidArgument;
  std::string subject;
  std::string detail;
};

// Formats `failure` as one line: "kind: subject: detail".
std::string Describe(const Failure& failure);

}  // namespace greengage

#endif  // GREENGAGE_STATE_FAILURE_H_
