// Starts the project's programs as processes of their own.
#ifndef GREENGAGE_TESTS_HARNESS_PROGRAM_H_
#define GREENGAGE_TESTS_HARNESS_PROGRAM_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace greengage {

// One running program. Its standard output goes to a pipe; standard error goes
// to a temporary file. Killed when destroyed, if it still runs.
class Program {
 public:
  // `name` is that of a program in GREENGAGE_BIN_DIR.
  Program(const std::string& name, const std::vector<std::string>& arguments);
  ~Program();

  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  void Signal(int signal) const;

  // The next line of its output, without the line end; empty at the end.
  std::string ReadLine();

  // Waits for its end; `output` gets what has not been read. Gives back the
  // exit code, or -1 if a signal ended it.
  int Wait(std::string* output = nullptr);

 private:
  pid_t pid_ = -1;
  int output_ = -1;
};

// Writes `text` to a new file, whose name it gives back. Removed at the end of
// the process.
std::string TemporaryFile(const std::string& text);

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_PROGRAM_H_
