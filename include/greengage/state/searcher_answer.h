// What became of one attempt at a searcher with an opaque request.
#ifndef GREENGAGE_STATE_SEARCHER_ANSWER_H_
#define GREENGAGE_STATE_SEARCHER_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace greengage {

// A searcher's whole answer. `signature` is the searcher's mark on it, which
// callers check; it is among the headers too.
struct SearcherAnswer {
  unsigned status = 0;
  std::string signature;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

// What a searcher says of its load with an answer.
struct ReportedLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
};

enum class AttemptEnd : uint8_t {
  kAnswered,     // A success, whole and signed.
  kFailed,       // The searcher ran the request and answered with a failure.
  kRejected,     // The searcher says that it did not run it.
  kMisdirected,  // Another searcher has the address; it did not run it.
  kLost,         // Sent, and no answer that counts: it may have run.
  kNotSent,      // No byte of it was sent.
  kAbandoned,    // Ended by this instance after it was sent.
};

// Name in snake_case, for logs and metrics.
std::string_view AttemptEndName(AttemptEnd end);

struct AttemptOutcome {
  AttemptEnd end = AttemptEnd::kLost;
  SearcherAnswer answer;  // With kAnswered and kFailed.
  std::optional<ReportedLoad> load;
  std::string detail;  // Why there is no answer, for people.
};

// Whether the end proves that the searcher did not run the request.
inline bool ProvesNotRun(AttemptEnd end) {
  return end == AttemptEnd::kRejected || end == AttemptEnd::kMisdirected ||
         end == AttemptEnd::kNotSent;
}

}  // namespace greengage

#endif  // GREENGAGE_STATE_SEARCHER_ANSWER_H_
