// The time line over all processes, merged from what each has recorded.
#ifndef GREENGAGE_PROTOCOL_TIMELINE_H_
#define GREENGAGE_PROTOCOL_TIMELINE_H_

#include <string>
#include <vector>

#include "greengage/state/event_log.h"

namespace greengage {

// All events ordered by hybrid time, so that causes stand before effects also
// where clocks differ; equal stamps are ordered by process.
std::vector<Event> MergeEvents(std::vector<std::vector<Event>> logs);

// One line for people, without a line end. The time is UTC.
std::string FormatEvent(const Event& event);

// An SVG picture with one lane a process, time from left to right. `events`
// must be ordered.
std::string TimelineSvg(const std::vector<Event>& events);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_TIMELINE_H_
