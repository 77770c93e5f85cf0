#include "greengage/transport/guard.h"

#include "greengage/state/metrics.h"
#include "greengage/transport/log_line.h"

namespace greengage {
namespace {

Counter& FailureCounter() {
  static Counter counter;
  return counter;
}

}  // namespace

void OnHandlerFailure(std::string_view where, std::string_view detail) {
  FailureCounter().Add();
  LogLine(DecisionEvent::kHandlerFailed)
      .Add("where", where)
      .Add("detail", detail)
      .Write();
}

uint64_t HandlerFailures() {
  return FailureCounter().value();
}

}  // namespace greengage
