// A server program that a test runs as a child process.
#ifndef GREENGAGE_TESTS_HARNESS_PROCESS_H_
#define GREENGAGE_TESTS_HARNESS_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "greengage/state/endpoint.h"

namespace greengage {

// Default timeout of tests for an expected event.
inline constexpr std::chrono::seconds kTestTimeout{30};

// Runs a program of $GREENGAGE_BIN_DIR. The destructor kills the process.
class Process {
 public:
  // Starts the program and waits for its line "listening IP:PORT"; aborts the
  // test if the line does not arrive. Standard error is appended to the file
  // `log`.
  Process(const std::string& program,
          const std::vector<std::string>& arguments,
          const std::string& log);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  const Endpoint& endpoint() const { return endpoint_; }
  pid_t id() const { return id_; }

  void Signal(int signal) const;

  // Returns what the process has written to standard output since the last
  // call.
  std::string ReadOutput() const;

  // Sends SIGKILL and waits for the end of the process.
  void Kill();

  // Waits for the process to exit and returns its exit code, or nullopt if it
  // does not exit within `timeout` or is ended by a signal.
  std::optional<int> WaitForExit(std::chrono::milliseconds timeout);

 private:
  void Start(const std::string& program,
             const std::vector<std::string>& arguments,
             const std::string& log);
  void ReadEndpoint();

  pid_t id_ = -1;
  int output_ = -1;
  bool ended_ = false;
  Endpoint endpoint_;
};

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_PROCESS_H_
