// The outcome of one attempt to send an opaque request to a searcher.
#ifndef GREENGAGE_STATE_SEARCHER_ANSWER_H_
#define GREENGAGE_STATE_SEARCHER_ANSWER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace greengage {

// A searcher's complete answer. `signature` is the searcher's signature of the
// answer, which callers verify; `headers` contains it too.
struct SearcherAnswer {
  unsigned status = 0;
  std::string signature;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

// Returns whether callers take the status as a promise that the request has not
// run and never will. A searcher's own status promises that only together with
// a header, so it must not be passed on without that proof.
inline bool PromisesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// The load that a searcher reports with an answer.
struct ReportedLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  // How long work takes on the searcher's machine at this moment, relative to
  // the usual time. Empty if the searcher does not report it.
  std::optional<double> work_time;
};

enum class AttemptEnd : uint8_t {
  kAnswered,     // A complete and signed success.
  kFailed,       // The searcher ran the request and answered with a failure.
  kRejected,     // The searcher reports that it did not run the request.
  kMisdirected,  // Another searcher has the address and did not run the
                 // request.
  kLost,         // Sent without a valid answer; it may have run.
  kNotSent,      // No byte of the request was sent.
  kWithheld,     // Not sent, since the searcher or the request no longer
                 // allowed it when a connection was free.
  kAbandoned,    // This instance ended the attempt after sending.
};

// Returns the name of `end` in snake_case, as used in logs and metrics.
std::string_view AttemptEndName(AttemptEnd end);

struct AttemptOutcome {
  AttemptEnd end = AttemptEnd::kLost;
  SearcherAnswer answer;  // With kAnswered and kFailed.
  std::optional<ReportedLoad> load;
  // Requests per second that the searcher takes from all instances together.
  // Empty if the answer names no limit.
  std::optional<double> request_limit;
  // How long the searcher wants no request from this instance. Empty if it does
  // not say, or accepts requests.
  std::optional<std::chrono::milliseconds> closed_for;
  bool leaving = false;  // The searcher says that it leaves.
  std::string detail;    // Reason for the lack of an answer, for people.
};

// Returns whether `end` proves that the searcher did not run the request.
inline bool ProvesNotRun(AttemptEnd end) {
  return end == AttemptEnd::kRejected || end == AttemptEnd::kMisdirected ||
         end == AttemptEnd::kNotSent || end == AttemptEnd::kWithheld;
}

// Returns whether `end` proves that nothing was sent.
inline bool ProvesNotSent(AttemptEnd end) {
  return end == AttemptEnd::kNotSent || end == AttemptEnd::kWithheld;
}

// Returns whether `end` proves that the request reached no searcher of its
// service. An address that another searcher has is usually one of another
// service.
inline bool ProvesNotArrived(AttemptEnd end) {
  return end == AttemptEnd::kMisdirected || end == AttemptEnd::kNotSent ||
         end == AttemptEnd::kWithheld;
}

}  // namespace greengage

#endif  // GREENGAGE_STATE_SEARCHER_ANSWER_H_
