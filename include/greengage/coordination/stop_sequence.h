// The steps of a graceful stop.
#ifndef GREENGAGE_COORDINATION_STOP_SEQUENCE_H_
#define GREENGAGE_COORDINATION_STOP_SEQUENCE_H_

#include <cstdint>

#include "greengage/state/time.h"

namespace greengage {

enum class StopStep : uint8_t {
  kServe,    // Take requests as before; only the readiness has changed.
  kDrain,    // Take no new requests and wait for those under way.
  kFinished  // Nothing is under way any more, or the grace time has passed.
};

// Decides how far a stop has come. Callers may go on sending requests here
// until the balancer has noticed, so the instance serves until no request has
// come for the notice time, but no longer than the notice and half of the grace
// time: what is under way then still needs the other half. Not thread-safe.
class StopSequence {
 public:
  // The whole stop takes at most `notice` and `grace` together. Both are
  // shortened alike if the process is killed `within` a time that is too short
  // for them; zero: it is not.
  StopSequence(TimePoint started,
               Duration notice,
               Duration grace,
               Duration within = Duration::zero());

  // `last_request` is when the last request of a caller arrived, before or
  // after the start of the stop. Steps only ever move forward.
  StopStep Next(TimePoint now, TimePoint last_request, bool has_work);

 private:
  const TimePoint started_;
  const Duration notice_;
  const Duration grace_;
  StopStep step_ = StopStep::kServe;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_STOP_SEQUENCE_H_
