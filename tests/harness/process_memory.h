// The memory of a process.
#ifndef GREENGAGE_TESTS_HARNESS_PROCESS_MEMORY_H_
#define GREENGAGE_TESTS_HARNESS_PROCESS_MEMORY_H_

#include <sys/types.h>

#include <cstddef>
#include <fstream>
#include <string>

namespace greengage {

// Returns the most resident memory that a process has taken up so far, in MB; 0
// if it does not run.
inline size_t MostMegabytes(pid_t process) {
  constexpr size_t kKilobytesPerMegabyte = 1024;
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  std::string word;
  while (status >> word) {
    if (word == "VmHWM:") {
      size_t kilobytes = 0;
      status >> kilobytes;
      return kilobytes / kKilobytesPerMegabyte;
    }
  }
  return 0;
}

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_PROCESS_MEMORY_H_
