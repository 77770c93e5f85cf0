#include "tests/harness/spawn.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>

namespace greengage {
namespace {

constexpr int kExecFailed = 127;

// Runs in the forked process, where only async-signal-safe calls are allowed.
[[noreturn]] void ExecProgram(const char* path,
                              char* const* argv,
                              int output,
                              const char* log) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(output, STDOUT_FILENO);
  const int error_log = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(error_log, STDERR_FILENO);
  close(error_log);
  // A socket that the process inherits would stay open after the test closes
  // it.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(path, argv);
  _exit(kExecFailed);
}

}  // namespace

std::string ProgramPath(const std::string& program) {
  const char* folder = std::getenv("GREENGAGE_BIN_DIR");
  return std::string(folder != nullptr ? folder : "build/bin") + "/" + program;
}

Spawned Spawn(const std::string& program,
              const std::vector<std::string>& arguments,
              const std::string& log) {
  std::string path = ProgramPath(program);
  std::vector<std::string> texts = arguments;
  std::vector<char*> argv{path.data()};
  for (std::string& text : texts) {
    argv.push_back(text.data());
  }
  argv.push_back(nullptr);
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) {
    return {};
  }
  const pid_t id = fork();
  if (id == 0) {
    ExecProgram(path.c_str(), argv.data(), ends[1], log.c_str());
  }
  close(ends[1]);
  return {id, ends[0]};
}

}  // namespace greengage
