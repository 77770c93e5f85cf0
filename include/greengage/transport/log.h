// Structured logs of a process, through log4cplus.
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

// Reads "debug", "info", "warning" or "error".
std::optional<LogLevel> ParseLogLevel(std::string_view name);

enum class LogOutput : uint8_t {
  kStandardError,
  // JSON lines, gathered, bounded and never waited for; see FlushLog().
  kStandardOutput,
};

// Starts logging. Call once, before other threads run.
void StartLog(std::string process,
              LogFormat format,
              LogLevel level,
              LogOutput output = LogOutput::kStandardError);

// Writes lines that were gathered for standard output. Call now and then.
void FlushLog();

// Whether there is room for lines that only add detail: lines that matter more
// keep half of what may be logged at once. Always true for standard error.
bool HasSpareLogCapacity();

// Whether lines of `level` are logged now. Thread-safe.
bool IsLogged(LogLevel level);

// Logs JSON members, or text, as they are. Thread-safe.
void LogMessage(LogLevel level, const std::string& message);

// Changes the level at run time. Thread-safe.
void SetLogLevel(LogLevel level);

// Events of requests are logged at debug level, changes of state at info, and
// faults at warning.
LogLevel LevelOf(EventKind kind);

void LogEvent(const Event& event);

// A failure that does not belong to the time line.
void LogFailure(LogLevel level, const Failure& failure);

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_LOG_H_
