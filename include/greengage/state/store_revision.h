// A position in the history of the store.
#ifndef GREENGAGE_STATE_STORE_REVISION_H_
#define GREENGAGE_STATE_STORE_REVISION_H_

#include <cstdint>
#include <tuple>

namespace greengage {

// A store that is restored from a copy gives revisions out again, with other
// changes. Its era rises each time, so that revisions are ordered by era first.
struct StoreRevision {
  StoreRevision() = default;
  StoreRevision(uint64_t era_of_number, uint64_t number_in_era)
      : era(era_of_number), number(number_in_era) {}

  uint64_t era = 0;  // 0 if the store does not tell.
  uint64_t number = 0;

  friend bool operator==(const StoreRevision& a, const StoreRevision& b) {
    return a.era == b.era && a.number == b.number;
  }
  friend bool operator<(const StoreRevision& a, const StoreRevision& b) {
    return std::tie(a.era, a.number) < std::tie(b.era, b.number);
  }
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_STORE_REVISION_H_
