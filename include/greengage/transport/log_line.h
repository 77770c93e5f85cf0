// One structured log line: an event with named fields.
#ifndef GREENGAGE_TRANSPORT_LOG_LINE_H_
#define GREENGAGE_TRANSPORT_LOG_LINE_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "greengage/state/decision_event.h"
#include "greengage/state/log_level.h"
#include "greengage/state/time.h"

namespace greengage {

// Builds a line; nothing is formatted unless its level is logged.
//
//   LogLine(DecisionEvent::kRequestEnded).Add("request_id", id).Write();
class LogLine {
 public:
  explicit LogLine(DecisionEvent event);

  LogLine& Add(std::string_view name, std::string_view value);

  template <std::integral Number>
  LogLine& Add(std::string_view name, Number value) {
    return AddNumber(name, std::to_string(value));
  }

  // In milliseconds, with a fraction; `name` should end with "_ms".
  LogLine& Add(std::string_view name, Duration value);

  // Hands the line to the log. Never waits: lines beyond the rate or the
  // reader's pace are dropped and counted.
  void Write();

 private:
  LogLine& AddNumber(std::string_view name, std::string_view value);

  const LogLevel level_;
  const bool enabled_;
  std::string members_;  // JSON, without the braces.
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_LOG_LINE_H_
