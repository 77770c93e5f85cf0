// A searcher in virtual time, with the faults that experiments switch on.
#ifndef TOOLS_BENCH_FAKE_SEARCHER_H_
#define TOOLS_BENCH_FAKE_SEARCHER_H_

#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <vector>

#include "tools/bench/event_queue.h"
#include "tools/bench/shape.h"
#include "tools/bench/sub_call.h"

namespace greengage::bench {

// What a searcher does wrong. Experiments change it at any time.
struct SearcherFaults {
  double straggler_share = 0;  // Of the sub-requests.
  Duration min_straggler_delay = std::chrono::milliseconds(500);
  Duration max_straggler_delay = std::chrono::milliseconds(1800);
  double slowdown = 1;                     // Factor on service times.
  std::optional<uint32_t> reported_queue;  // Misleading load.
  TimePoint paused_until;
  bool dead = false;
  bool draining = false;
  bool reports_draining = true;
  bool returns_hits = false;  // One for each sub-answer, naming its version.
  size_t shed_queue_length = 64;  // Sheds when this many wait.
  uint64_t oldest_version = 1;
  uint64_t newest_version = 1;
  std::optional<KeyRange> held_range;  // Empty: all that is asked for.
};

// Serves sub-requests in their order in a fixed number of slots.
class FakeSearcher {
 public:
  // Runs when an answer leaves the searcher.
  using AnswerHook = std::function<void(CallId, SubAnswer)>;

  FakeSearcher(EventQueue* events,
               SubCallTable* calls,
               const Shape* shape,
               size_t index,
               uint64_t seed,
               AnswerHook on_answer);

  // A sub-request arrives.
  void Arrive(CallId id);

  // Gives up a sub-request, running or waiting.
  void Cancel(CallId id);

  // Loses all work at once, without an answer.
  void Kill();

  // From now on as cold as after a start: slower by `factor` at first, as fast
  // as ever after `warm_up`.
  void StartCold(double factor, Duration warm_up);

  SearcherFaults& faults() { return faults_; }
  const SearcherFaults& faults() const { return faults_; }
  TimePoint last_arrival() const { return last_arrival_; }

 private:
  std::optional<Refusal> RejectionFor(const SubRequest& request) const;
  void Reject(CallId id, const SubRequest& request, Refusal refusal);
  SubAnswer AnswerFor(const SubRequest& request) const;
  void StartNext();
  void Start(CallId id);
  void Complete(CallId id);
  Duration ServiceTime();
  SearcherLoad Load() const;

  EventQueue* const events_;
  SubCallTable* const calls_;
  const Shape* const shape_;
  const uint32_t slots_;
  AnswerHook on_answer_;
  std::minstd_rand random_;
  SearcherFaults faults_;
  std::vector<CallId> running_;
  std::deque<CallId> waiting_;
  double cold_factor_ = 1;
  TimePoint cold_since_;
  Duration warm_up_{1};
  TimePoint last_arrival_;
};

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_FAKE_SEARCHER_H_
