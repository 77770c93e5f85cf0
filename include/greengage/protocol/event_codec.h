// JSON serialization of timeline events.
#ifndef GREENGAGE_PROTOCOL_EVENT_CODEC_H_
#define GREENGAGE_PROTOCOL_EVENT_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "greengage/state/event_log.h"
#include "greengage/state/result.h"

namespace greengage {

// Format: {"events": [{"ms", "counter", "kind", "process", "request_id",
// "subject", "detail"}…]}.
std::string SerializeEvents(const std::vector<Event>& events);

// Serializes one event on one line, as an element of that array.
std::string SerializeEvent(const Event& event);

// Parses the output of SerializeEvents() and skips events of unknown kinds,
// which newer releases may send. Fails with kInvalidSyntax.
Result<std::vector<Event>> ParseEvents(std::string_view text);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_EVENT_CODEC_H_
