// Keeps an exception that leaves a handler from ending more than its exchange.
#ifndef GREENGAGE_TRANSPORT_GUARD_H_
#define GREENGAGE_TRANSPORT_GUARD_H_

#include <cstdint>
#include <exception>
#include <string_view>
#include <utility>

namespace greengage {

// Logs and counts a handler that threw, which is an error of this program.
// `where` names what failed. Thread-safe.
void OnHandlerFailure(std::string_view where, std::string_view detail);

// Returns the number of handlers of the process that threw.
uint64_t HandlerFailures();

// Runs `handler`. If it throws, logs and counts that, and returns false. The
// caller must end the exchange then.
template <typename Handler>
bool RunGuarded(std::string_view where, Handler&& handler) {
  try {
    std::forward<Handler>(handler)();
    return true;
  } catch (const std::exception& error) {
    OnHandlerFailure(where, error.what());
  } catch (...) {
    OnHandlerFailure(where, "an exception of an unknown type");
  }
  return false;
}

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_GUARD_H_
