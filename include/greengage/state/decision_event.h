// The kinds of log lines of an instance that routes opaque requests.
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
  kRequestsEndedByStop,
  kInstanceStopped,
  kProcessEnded,
  kConnectionCut,
  kSettingsReloaded,
  kHandlerFailed,
  kInstancesCounted,
  kInstanceListFailed,
  kRegistrationMissing,
  kFeedSourceChosen,
  kFeedPeerFailed,
  kQueryForwarded,
  kGathererFailed,
  kStoreFailing,
  kChangeMissed,
  kStoreRecovered,
  kStoreRestored,
  kConfigurationInForce,
  kConfigurationIgnored,
  kObjectUnreadable,
  kEvacuationChanged,
  kQuotaLimited,
  kSearcherAdded,
  kSearcherLeaving,
  kSearcherLimit,
  kSearchersUnreachable,
  kSearchersReachedAgain,
  kSearcherCrashed,
  kRequestSuspected,
  kRequestCleared,
  kRequestRefused,
  kAttempt,
  kRequestEnded,
  kLogLinesDropped,
};

// Values of the field "trouble" of a request_ended line other than the names of
// AttemptEnd.
inline constexpr std::string_view kNoTrouble = "none";
inline constexpr std::string_view kNoSearcherTrouble = "no_searcher";
inline constexpr std::string_view kShardsNotAnsweringTrouble =
    "shards_not_answering";

struct DecisionEventInfo {
  DecisionEvent event;
  std::string_view name;  // Value of the field "event" of a line.
  LogLevel level;
  std::string_view fields;   // Field names, separated by commas.
  std::string_view meaning;  // For the documentation.
};

const DecisionEventInfo& InfoOf(DecisionEvent event);

// Returns whether the event is about the life of the process, and so occurs a
// few times at most.
bool IsLifecycleEvent(DecisionEvent event);

// Returns the event named `name`, or nullopt if no event has that name, as in
// lines of other programs.
std::optional<DecisionEvent> FindDecisionEvent(std::string_view name);

// All kinds, in the order of DecisionEvent; tests compare the documentation
// with them.
const std::vector<DecisionEventInfo>& AllDecisionEvents();

}  // namespace greengage

#endif  // GREENGAGE_STATE_DECISION_EVENT_H_
