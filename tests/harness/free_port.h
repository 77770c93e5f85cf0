// Ports for processes that must know them before they start.
#ifndef GREENGAGE_TESTS_HARNESS_FREE_PORT_H_
#define GREENGAGE_TESTS_HARNESS_FREE_PORT_H_

#include <cstdint>

namespace greengage {

// A port of loopback that is free for TCP and UDP at the moment. It lies below
// the range that the system hands out by itself, and tests that run at the
// same time start their search at different places, so that it stays free.
uint16_t FreePort();

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_FREE_PORT_H_
