// Comment lines at the start of a configuration text that identify the write
// attempts of this version and of its predecessors.
#ifndef GREENGAGE_COORDINATION_ATTEMPT_HEADER_H_
#define GREENGAGE_COORDINATION_ATTEMPT_HEADER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace greengage {

// An accepted write: the token of its attempt and the version it replaced.
struct Attempt {
  std::string token;
  uint64_t replaced = 0;
};

// Attempts kept in a header, so that a writer that lost the response to its
// attempt can still find the attempt after other writes have followed it.
inline constexpr size_t kMaxAttemptsKept = 8;

// Returns the attempts listed at the start of `text`, newest first. The first
// wrote `text` itself; each of the others wrote the version that the previous
// one in the list replaced.
std::vector<Attempt> ParseAttempts(std::string_view text);

// Returns `text` without the attempt lines at its start.
std::string_view StripAttempts(std::string_view text);

// Returns `text` preceded by lines for the first kMaxAttemptsKept of
// `attempts`, which are ordered newest first.
std::string PrependAttempts(const std::vector<Attempt>& attempts,
                            std::string_view text);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_ATTEMPT_HEADER_H_
