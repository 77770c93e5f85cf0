// Ports for processes whose settings need a port before they start.
#ifndef GREENGAGE_TESTS_HARNESS_FREE_PORT_H_
#define GREENGAGE_TESTS_HARNESS_FREE_PORT_H_

#include <cstdint>

namespace greengage {

// Returns a port that is currently free for TCP and UDP on loopback. So that no
// other process takes the port before its use, it lies below the ephemeral port
// range of the system, and concurrent tests start their search at different
// ports.
uint16_t FreePort();

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_FREE_PORT_H_
