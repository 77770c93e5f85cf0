// Priority ranks of work, from the most urgent to the least urgent.
#ifndef GREENGAGE_STATE_RANK_H_
#define GREENGAGE_STATE_RANK_H_

#include <cstddef>
#include <cstdint>

namespace greengage {

// Every deployment has three ranks; its configuration gives their names.
enum class Rank : uint8_t { kUrgent = 0, kNormal = 1, kBackground = 2 };

inline constexpr size_t kRankCount = 3;

inline constexpr Rank kAllRanks[kRankCount] = {Rank::kUrgent, Rank::kNormal,
                                               Rank::kBackground};

inline size_t IndexOf(Rank rank) {
  return static_cast<size_t>(rank);
}

}  // namespace greengage

#endif  // GREENGAGE_STATE_RANK_H_
