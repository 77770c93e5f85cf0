// Steps of a graceful shutdown.
#ifndef GREENGAGE_COORDINATION_STOP_SEQUENCE_H_
#define GREENGAGE_COORDINATION_STOP_SEQUENCE_H_

#include <cstdint>

#include "greengage/state/time.h"

namespace greengage {

enum class StopStep : uint8_t {
  kServe,    // Accept requests as before, but report not ready.
  kDrain,    // Reject new requests and wait for those in flight.
  kFinished  // No request is in flight, or the grace time has passed.
};

// Decides which step a shutdown has reached. Requests keep arriving until the
// load balancer reacts to the changed readiness, so the instance serves until
// none has arrived for the notice time. It serves for at most the notice time
// and half of the grace time; the other half is left for the requests that are
// then in flight. Not thread-safe.
class StopSequence {
 public:
  // The shutdown takes at most `notice` plus `grace`. Both are shortened in
  // proportion if the process is killed before they would have passed:
  // `kill_timeout` is the time until then, or zero if the process is not
  // killed.
  StopSequence(TimePoint started,
               Duration notice,
               Duration grace,
               Duration kill_timeout = Duration::zero());

  // Returns the current step, which never goes back. `last_request` is when the
  // last request of a caller arrived, before or after the start of the
  // shutdown.
  StopStep Next(TimePoint now, TimePoint last_request, bool has_work);

  // Returns whether to take a request that arrives now and may last for
  // `longest`. In the first half of the shutdown all are taken, since the load
  // balancer still sends new ones; the other half is left for them. After that,
  // only those are taken that end before the process does.
  bool Takes(TimePoint now, Duration longest) const;

  // Returns until when answers may be written after the last step: some time
  // after it, but before the process is killed.
  TimePoint answers_end() const { return answers_end_; }

 private:
  const TimePoint started_;
  const Duration notice_;
  const Duration grace_;
  const TimePoint end_;
  const TimePoint answers_end_;
  StopStep step_ = StopStep::kServe;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_STOP_SEQUENCE_H_
