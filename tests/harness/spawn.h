// Starts child processes that do not outlive the test.
#ifndef GREENGAGE_TESTS_HARNESS_SPAWN_H_
#define GREENGAGE_TESTS_HARNESS_SPAWN_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace greengage {

// Returns the path of a program in $GREENGAGE_BIN_DIR, or in build/bin if that
// is not set.
std::string ProgramPath(const std::string& program);

// A started process. `id` is -1 if the start failed.
struct Spawned {
  pid_t id = -1;
  int output = -1;  // Read end of the pipe from its standard output.
};

// Starts `program` and appends its standard error to the file `log`. The kernel
// kills the process when the calling thread ends, even if a failed assertion
// ends the test without running destructors.
Spawned Spawn(const std::string& program,
              const std::vector<std::string>& arguments,
              const std::string& log);

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_SPAWN_H_
