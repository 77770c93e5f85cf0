// The JSON of time line events, as instances serve and operators read it.
#ifndef GREENGAGE_PROTOCOL_EVENT_CODEC_H_
#define GREENGAGE_PROTOCOL_EVENT_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "greengage/state/event_log.h"
#include "greengage/state/result.h"

namespace greengage {

// {"events": [{"ms", "counter", "kind", "process", "request_id", "subject",
// "detail"}…]}.
std::string SerializeEvents(const std::vector<Event>& events);

// One event in the form that it has there, on one line.
std::string SerializeEvent(const Event& event);

// Reads what SerializeEvents() writes; events of kinds that this release does
// not know are left out. Fails with kInvalidSyntax.
Result<std::vector<Event>> ParseEvents(std::string_view text);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_EVENT_CODEC_H_
