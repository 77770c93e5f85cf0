// Merges the event logs of several processes into one timeline and formats it.
#ifndef GREENGAGE_PROTOCOL_TIMELINE_H_
#define GREENGAGE_PROTOCOL_TIMELINE_H_

#include <string>
#include <vector>

#include "greengage/state/event_log.h"

namespace greengage {

// Returns all events in the order of their hybrid time, which puts causes
// before effects even if the clocks differ. Events of equal time are ordered by
// process.
std::vector<Event> MergeEvents(std::vector<std::vector<Event>> logs);

// Returns one human-readable line without a newline. The time is in UTC.
std::string FormatEvent(const Event& event);

// Draws an SVG image with one lane per process and time from left to right.
// `events` must be ordered by time.
std::string TimelineSvg(const std::vector<Event>& events);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_TIMELINE_H_
