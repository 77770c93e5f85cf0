// How long the store may hold a watch.
#ifndef GREENGAGE_COORDINATION_WATCH_TIMEOUT_H_
#define GREENGAGE_COORDINATION_WATCH_TIMEOUT_H_

#include <chrono>

namespace greengage {

// A watch whose answer is lost looks like one that waits for a change. It ends
// `call_timeout` after the time for which the store holds it, and only the
// listing that follows shows what has changed. Returns the longest time to hold
// a watch with which changes are known `known_within` after they were made. If
// `known_within` is shorter than that takes, the result is short but positive,
// since the store answers each watch.
std::chrono::milliseconds WatchTimeout(std::chrono::milliseconds known_within,
                                       std::chrono::milliseconds call_timeout);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_WATCH_TIMEOUT_H_
