// A program that a test runs as a process of its own.
#ifndef GREENGAGE_TESTS_HARNESS_PROCESS_H_
#define GREENGAGE_TESTS_HARNESS_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "greengage/state/endpoint.h"

namespace greengage {

// Longest wait for anything that a test expects to happen.
inline constexpr std::chrono::seconds kTestTimeout{30};

// Runs one program out of $GREENGAGE_BIN_DIR. The destructor kills it.
class Process {
 public:
  // Starts the program and waits for its line "listening IP:PORT"; stops the
  // test if that does not come. Standard error goes to `log`.
  Process(const std::string& program,
          const std::vector<std::string>& arguments,
          const std::string& log);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  const Endpoint& endpoint() const { return endpoint_; }
  pid_t id() const { return id_; }

  void Signal(int signal) const;

  // What it has written to standard output since the last call.
  std::string ReadOutput() const;

  // Sends SIGKILL and waits until the process has gone.
  void Kill();

  // Exit code once the process ends by itself; nothing if it does not end in
  // time or ends by a signal.
  std::optional<int> WaitForExit(std::chrono::milliseconds patience);

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
