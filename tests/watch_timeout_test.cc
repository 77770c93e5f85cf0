#include "greengage/coordination/watch_timeout.h"

#include <criterion/criterion.h>

namespace greengage {

using Ms = std::chrono::milliseconds;

// Guards against a lost watch that ends only after its changes were due.
Test(WatchTimeout, LeavesTimeForTheTimeoutAndAListing) {
  for (const Ms known_within : {Ms(3000), Ms(4000), Ms(8000)}) {
    const Ms timeout = WatchTimeout(known_within, Ms(1500));
    cr_assert(timeout + Ms(1500) < known_within);
    cr_assert(timeout + Ms(1500) > known_within * 4 / 5);
  }
}

Test(WatchTimeout, IsBounded) {
  cr_assert(WatchTimeout(Ms(100), Ms(1500)) > Ms(0));
  cr_assert(WatchTimeout(Ms(60000), Ms(1500)) < Ms(30000));
}

}  // namespace greengage
