// Structured logs of a process, through log4cplus.
#ifndef GREENGAGE_TRANSPORT_LOG_H_
#define GREENGAGE_TRANSPORT_LOG_H_

#include <optional>
#include <string>
#include <string_view>

#include "greengage/state/event_log.h"
#include "greengage/state/failure.h"
#include "greengage/state/log_level.h"

namespace greengage {

// Reads "debug", "info", "warning" or "error".
std::optional<LogLevel> ParseLogLevel(std::string_view name);

// Starts logging to standard error. Call once, before other threads run.
void StartLog(std::string process, LogFormat format, LogLevel level);

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
