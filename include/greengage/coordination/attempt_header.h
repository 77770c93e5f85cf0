// Comment lines at the head of a configuration text that name the attempts
// which wrote it and its predecessors.
#ifndef GREENGAGE_COORDINATION_ATTEMPT_HEADER_H_
#define GREENGAGE_COORDINATION_ATTEMPT_HEADER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace greengage {

// One accepted write: the token of its attempt and the version it replaced.
struct Attempt {
  std::string token;
  uint64_t replaced = 0;
};

// Attempts that a header keeps, so that one whose answer was lost can still
// be found after others have followed it.
inline constexpr size_t kMaxAttemptsKept = 8;

// The attempts at the head of `text`, from the newest to the oldest. The first
// wrote the text itself; each of the others wrote the version that the one
// before it replaced.
std::vector<Attempt> ParseAttempts(std::string_view text);

// `text` without such lines at its head.
std::string_view StripAttempts(std::string_view text);

// `text` below lines for the newest kMaxAttemptsKept of `attempts`.
std::string PrependAttempts(const std::vector<Attempt>& attempts,
                         std::string_view text);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_ATTEMPT_HEADER_H_
