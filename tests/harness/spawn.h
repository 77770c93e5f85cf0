// Starts programs that do not outlive the test.
#ifndef GREENGAGE_TESTS_HARNESS_SPAWN_H_
#define GREENGAGE_TESTS_HARNESS_SPAWN_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace greengage {

// The path of a program in $GREENGAGE_BIN_DIR, or in build/bin without it.
std::string ProgramPath(const std::string& program);

// A program that was started; `id` is -1 if that failed.
struct Spawned {
  pid_t id = -1;
  int output = -1;  // The end of a pipe that gives its standard output.
};

// Starts `program` with standard error appended to the file `log`. The system
// kills it when the thread that started it ends, also when a failed check ends
// the test without running destructors.
Spawned Spawn(const std::string& program,
              const std::vector<std::string>& arguments,
              const std::string& log);

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_SPAWN_H_
