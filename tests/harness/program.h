// Runs the project's programs as child processes.
#ifndef GREENGAGE_TESTS_HARNESS_PROGRAM_H_
#define GREENGAGE_TESTS_HARNESS_PROGRAM_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace greengage {

// A running program. Its standard output goes to a pipe and its standard error
// to a temporary file. The destructor kills the process if it still runs.
class Program {
 public:
  // `name` is the name of a program in $GREENGAGE_BIN_DIR.
  Program(const std::string& name, const std::vector<std::string>& arguments);
  ~Program();

  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  void Signal(int signal) const;

  // Returns the next line of standard output without its newline, or an empty
  // string at the end of the output.
  std::string ReadLine();

  // Waits for the end of the process and appends its unread output to `output`.
  // Returns the exit code, or -1 if a signal ended the process.
  int Wait(std::string* output = nullptr);

 private:
  pid_t pid_ = -1;
  int output_ = -1;
};

// Writes `text` to a new file and returns its name. The file is removed at exit
// of the test process.
std::string TemporaryFile(const std::string& text);

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_PROGRAM_H_
