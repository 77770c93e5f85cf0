// Structured logging through log4cplus.
#ifndef GREENGAGE_TRANSPORT_LOG_H_
#define GREENGAGE_TRANSPORT_LOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "greengage/state/event_log.h"
#include "greengage/state/failure.h"
#include "greengage/state/log_level.h"

namespace greengage {

// Parses "debug", "info", "warning" or "error".
std::optional<LogLevel> ParseLogLevel(std::string_view name);

enum class LogOutput : uint8_t {
  kStandardError,
  // JSON lines, which are buffered and rate-limited and never block the caller.
  // See FlushLog().
  kStandardOutput,
};

enum class LogPriority : uint8_t {
  kNormal,
  // The few lines about the life of the process. They have capacity of their
  // own, so that other lines don't displace them.
  kLifecycle,
};

// Starts logging. Must be called once, before other threads are started.
void StartLog(std::string process,
              LogFormat format,
              LogLevel level,
              LogOutput output = LogOutput::kStandardError);

// Writes buffered lines to standard output. Should be called periodically.
void FlushLog();

// Returns true if lines of low importance may be logged. Half of the burst
// limit and of the buffer is reserved for more important lines. Always true for
// standard error.
bool HasSpareLogCapacity();

// Returns true if lines of `level` are currently logged. Thread-safe.
bool IsLogged(LogLevel level);

// Logs `message` unchanged: JSON members in the JSON format, else text.
// Thread-safe.
void LogMessage(LogLevel level,
                const std::string& message,
                LogPriority priority = LogPriority::kNormal);

// Changes the level at run time. Thread-safe.
void SetLogLevel(LogLevel level);

// Returns debug for events of a request, info for state changes and warning for
// faults.
LogLevel LevelOf(EventKind kind);

void LogEvent(const Event& event);

// Logs a failure that is not part of the event log.
void LogFailure(LogLevel level, const Failure& failure);

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_LOG_H_
