// The kinds of lines that a routed instance logs.
#ifndef GREENGAGE_STATE_DECISION_EVENT_H_
#define GREENGAGE_STATE_DECISION_EVENT_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "greengage/state/log_level.h"

namespace greengage {

enum class DecisionEvent : uint8_t {
  kInstanceStarted,
  kInstanceStopping,
  kInstanceStopped,
  kSettingsReloaded,
  kInstancesCounted,
  kInstanceListFailed,
  kStoreFailing,
  kStoreRecovered,
  kConfigurationInForce,
  kObjectUnreadable,
  kSearcherAdded,
  kSearcherLeaving,
  kRequestRefused,
  kAttempt,
  kRequestEnded,
  kLogLinesDropped,
};

// What the member "trouble" of a request_ended line says where no end of an
// attempt does.
inline constexpr std::string_view kNoTrouble = "none";
inline constexpr std::string_view kNoSearcherTrouble = "no_searcher";
inline constexpr std::string_view kShardsNotAnsweringTrouble =
    "shards_not_answering";

struct DecisionEventInfo {
  DecisionEvent event;
  std::string_view name;  // Of the member "event" of a line.
  LogLevel level;
  std::string_view fields;   // Names, separated by commas.
  std::string_view meaning;  // For people.
};

const DecisionEventInfo& InfoOf(DecisionEvent event);

// The event whose lines are named `name`; nothing for another program's.
std::optional<DecisionEvent> FindDecisionEvent(std::string_view name);

// All kinds, for documentation checks.
const std::vector<DecisionEventInfo>& AllDecisionEvents();

}  // namespace greengage

#endif  // GREENGAGE_STATE_DECISION_EVENT_H_
