#include "greengage/transport/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <boost/json.hpp>

#include <array>
#include <atomic>
#include <chrono>

#include "transport/stdout_appender.h"

namespace greengage {
namespace {

namespace json = boost::json;

constexpr char kLoggerName[] = "greengage";
constexpr char kLifecycleLoggerName[] = "greengage.lifecycle";

struct LevelEntry {
  LogLevel level;
  std::string_view name;
  log4cplus::LogLevel library_level;
};

constexpr std::array<LevelEntry, 4> kLevels{{
    {LogLevel::kDebug, "debug", log4cplus::DEBUG_LOG_LEVEL},
    {LogLevel::kInfo, "info", log4cplus::INFO_LOG_LEVEL},
    {LogLevel::kWarning, "warning", log4cplus::WARN_LOG_LEVEL},
    {LogLevel::kError, "error", log4cplus::ERROR_LOG_LEVEL},
}};

const LevelEntry& EntryOf(LogLevel level) {
  return kLevels[static_cast<size_t>(level)];
}

std::string_view NameOf(log4cplus::LogLevel library_level) {
  for (const LevelEntry& entry : kLevels) {
    if (entry.library_level == library_level) {
      return entry.name;
    }
  }
  return "info";
}

// Writes one JSON object per line. Messages must consist of JSON members.
class JsonLayout : public log4cplus::Layout {
 public:
  explicit JsonLayout(std::string process) : process_(std::move(process)) {}

  void formatAndAppend(
      log4cplus::tostream& output,
      const log4cplus::spi::InternalLoggingEvent& event) override {
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
        event.getTimestamp().time_since_epoch());
    output << "{\"time_ms\":" << time.count() << ",\"level\":\""
           << NameOf(event.getLogLevel())
           << "\",\"process\":" << json::serialize(json::string(process_))
           << ',' << event.getMessage() << "}\n";
  }

 private:
  const std::string process_;
};

// Content of a log line, independent of the format.
struct Line {
  std::string_view event;
  std::string_view request_id;
  std::string_view subject;
  std::string_view detail;
};

// Without an appender, log4cplus writes to the standard error.
std::atomic<bool> log_started = false;

LogFormat log_format = LogFormat::kText;

// Owned by the logger.
StdoutAppender* stdout_appender = nullptr;

std::string Format(const Line& line) {
  if (log_format == LogFormat::kJson) {
    json::object object{{"event", line.event}};
    if (!line.request_id.empty()) {
      object["request_id"] = line.request_id;
    }
    object["subject"] = line.subject;
    object["detail"] = line.detail;
    const std::string text = json::serialize(object);
    return text.substr(1, text.size() - 2);
  }
  std::string text(line.event);
  for (const std::string_view part :
       {line.request_id, line.subject, line.detail}) {
    if (!part.empty()) {
      text += " ";
      text += part;
    }
  }
  return text;
}

const log4cplus::Logger& GetLogger() {
  static const log4cplus::Logger logger =
      log4cplus::Logger::getInstance(kLoggerName);
  return logger;
}

const log4cplus::Logger& LifecycleLogger() {
  static const log4cplus::Logger logger =
      log4cplus::Logger::getInstance(kLifecycleLoggerName);
  return logger;
}

void WriteLine(LogLevel level, const Line& line) {
  if (IsLogged(level)) {
    LogMessage(level, Format(line));
  }
}

}  // namespace

std::optional<LogLevel> ParseLogLevel(std::string_view name) {
  for (const LevelEntry& entry : kLevels) {
    if (entry.name == name) {
      return entry.level;
    }
  }
  return std::nullopt;
}

bool IsLogged(LogLevel level) {
  return log_started && GetLogger().isEnabledFor(EntryOf(level).library_level);
}

void LogMessage(LogLevel level,
                const std::string& message,
                LogPriority priority) {
  if (!log_started) {
    return;
  }
  const log4cplus::Logger& logger =
      priority == LogPriority::kLifecycle ? LifecycleLogger() : GetLogger();
  logger.log(EntryOf(level).library_level, message);
}

void StartLog(std::string process,
              LogFormat format,
              LogLevel level,
              LogOutput output) {
  log4cplus::initialize();
  log_format = format;
  log4cplus::SharedAppenderPtr appender;
  if (output == LogOutput::kStandardOutput) {
    stdout_appender = new StdoutAppender(process, kLifecycleLoggerName);
    appender = log4cplus::SharedAppenderPtr(stdout_appender);
  } else {
    appender = log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(true, true));
  }
  if (format == LogFormat::kJson) {
    appender->setLayout(std::make_unique<JsonLayout>(std::move(process)));
  } else {
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p " + process + " %m%n"));
  }
  log4cplus::Logger::getInstance(kLoggerName).addAppender(appender);
  SetLogLevel(level);
  log_started = true;
}

void FlushLog() {
  if (stdout_appender != nullptr) {
    stdout_appender->Flush();
  }
}

bool HasSpareLogCapacity() {
  return stdout_appender == nullptr || stdout_appender->HasSpareCapacity();
}

void SetLogLevel(LogLevel level) {
  log4cplus::Logger::getInstance(kLoggerName)
      .setLogLevel(EntryOf(level).library_level);
}

LogLevel LevelOf(EventKind kind) {
  switch (kind) {
    case EventKind::kQueryAdmitted:
    case EventKind::kQueryRefused:
    case EventKind::kQueryAnswered:
    case EventKind::kQueryRerun:
    case EventKind::kSubRequestForwarded:
    case EventKind::kSubRequestSent:
    case EventKind::kSubRequestHedged:
    case EventKind::kSubRequestRetried:
    case EventKind::kSubRequestEnded:
    case EventKind::kClaimCreated:
    case EventKind::kClaimLost:
    case EventKind::kClaimSettled:
      return LogLevel::kDebug;
    case EventKind::kInstanceSuspected:
    case EventKind::kInstanceGone:
    case EventKind::kSearcherEjected:
    case EventKind::kConnectionReplaced:
    case EventKind::kPlatformDown:
      return LogLevel::kWarning;
    default:
      return LogLevel::kInfo;
  }
}

void LogEvent(const Event& event) {
  WriteLine(LevelOf(event.kind),
            Line{EventKindName(event.kind), event.request_id, event.subject,
                 event.detail});
}

void LogFailure(LogLevel level, const Failure& failure) {
  WriteLine(level, Line{FailureKindName(failure.kind), "", failure.subject,
                        failure.detail});
}

}  // namespace greengage
