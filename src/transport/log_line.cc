#include "greengage/transport/log_line.h"

#include <boost/json.hpp>

#include <array>
#include <cstdio>

#include "greengage/transport/log.h"

namespace greengage {
namespace json = boost::json;

LogLine::LogLine(DecisionEvent event)
    : event_(event), level_(InfoOf(event).level), enabled_(IsLogged(level_)) {
  Add("event", InfoOf(event).name);
}

LogLine& LogLine::Add(std::string_view name, std::string_view value) {
  if (!enabled_) {
    return *this;
  }
  return AddJson(name, json::serialize(json::string(value)));
}

LogLine& LogLine::Add(std::string_view name, Duration value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.1f",
                std::chrono::duration<double, std::milli>(value).count());
  return AddJson(name, text.data());
}

LogLine& LogLine::Add(std::string_view name, double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.6g", value);
  return AddJson(name, text.data());
}

LogLine& LogLine::AddJson(std::string_view name, std::string_view value) {
  if (enabled_) {
    members_ += members_.empty() ? "\"" : ",\"";
    members_ += name;
    members_ += "\":";
    members_ += value;
  }
  return *this;
}

void LogLine::Write() {
  if (enabled_) {
    LogMessage(level_, members_,
               IsLifecycleEvent(event_) ? LogPriority::kLifecycle
                                        : LogPriority::kNormal);
  }
}

void LogUnreadableObject(std::string_view name,
                         uint64_t revision,
                         const Failure& reason) {
  LogLine(DecisionEvent::kObjectUnreadable)
      .Add("object", name)
      .Add("revision", revision)
      .Add("detail", Describe(reason))
      .Write();
}

}  // namespace greengage
