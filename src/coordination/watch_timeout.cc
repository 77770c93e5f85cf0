#include "greengage/coordination/watch_timeout.h"

#include <algorithm>

namespace greengage {
namespace {

using std::chrono::milliseconds;

// Time for the delay before a watch and for the listing after a failed one.
constexpr milliseconds kListingTime{300};

constexpr milliseconds kMinWatchTimeout{300};
// Stores hold a watch for 30 s at most.
constexpr milliseconds kMaxWatchTimeout{25000};

}  // namespace

milliseconds WatchTimeout(milliseconds known_within,
                          milliseconds call_timeout) {
  return std::clamp(known_within - call_timeout - kListingTime,
                    kMinWatchTimeout, kMaxWatchTimeout);
}

}  // namespace greengage
