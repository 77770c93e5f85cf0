// A structured log line: an event with named fields.
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
#include "greengage/state/failure.h"
#include "greengage/state/log_level.h"
#include "greengage/state/time.h"

namespace greengage {

// Builds a line. Nothing is formatted unless the level is logged.
//
//   LogLine(DecisionEvent::kRequestEnded).Add("request_id", id).Write();
class LogLine {
 public:
  explicit LogLine(DecisionEvent event);

  LogLine& Add(std::string_view name, std::string_view value);

  template <std::integral Number>
  LogLine& Add(std::string_view name, Number value) {
    return AddJson(name, std::to_string(value));
  }

  // Adds a finite number with six significant digits.
  LogLine& Add(std::string_view name, double value);

  // Adds a duration in milliseconds with one decimal. `name` should end with
  // "_ms".
  LogLine& Add(std::string_view name, Duration value);

  // Logs the line without blocking. If the rate limit is exceeded or the reader
  // of the output is too slow, the line is dropped and counted.
  void Write();

 private:
  LogLine& AddJson(std::string_view name, std::string_view value);

  const DecisionEvent event_;
  const LogLevel level_;
  const bool enabled_;
  std::string members_;  // JSON members without the braces.
};

// Logs that an object of the store is left out because it cannot be decoded.
void LogUnreadableObject(std::string_view name,
                         uint64_t revision,
                         const Failure& reason);

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_LOG_LINE_H_
