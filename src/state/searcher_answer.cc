#include "greengage/state/searcher_answer.h"

namespace greengage {

std::string_view AttemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kFailed:
      return "failed";
    case AttemptEnd::kRejected:
      return "turned_away";
    case AttemptEnd::kMisdirected:
      return "misdirected";
    case AttemptEnd::kLost:
      return "lost";
    case AttemptEnd::kNotSent:
      return "not_sent";
    case AttemptEnd::kWithheld:
      return "withheld";
    case AttemptEnd::kAbandoned:
      return "abandoned";
  }
  return "unknown";
}

}  // namespace greengage
