// Finds out which process a TCP connection on this machine belongs to.
#ifndef GREENGAGE_TESTS_HARNESS_TCP_OWNER_H_
#define GREENGAGE_TESTS_HARNESS_TCP_OWNER_H_

#include <sys/types.h>

#include <cstdint>

namespace greengage {

// Returns true if `process` has a connection from `port` to `server_port`, both
// of 127.0.0.1.
bool OwnsTcpConnection(pid_t process, uint16_t port, uint16_t server_port);

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_TCP_OWNER_H_
