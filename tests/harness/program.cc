#include "tests/harness/program.h"

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "tests/harness/spawn.h"

namespace greengage {

namespace {

// Removes the named files at exit.
struct TemporaryFiles {
  ~TemporaryFiles() {
    for (const std::string& name : names) {
      std::error_code ignored;
      std::filesystem::remove(name, ignored);
    }
  }
  std::vector<std::string> names;
};

}  // namespace

Program::Program(const std::string& name,
                 const std::vector<std::string>& arguments) {
  const Spawned spawned = Spawn(name, arguments, TemporaryFile(""));
  pid_ = spawned.id;
  output_ = spawned.output;
}

Program::~Program() {
  if (pid_ > 0) {
    Signal(SIGKILL);
    Wait();
  }
  if (output_ >= 0) {
    close(output_);
  }
}

void Program::Signal(int signal) const {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

std::string Program::ReadLine() {
  std::string line;
  for (char character = 0; read(output_, &character, 1) == 1;) {
    if (character == '\n') {
      break;
    }
    line += character;
  }
  return line;
}

int Program::Wait(std::string* output) {
  char buffer[4096];
  while (output != nullptr) {
    const ssize_t count = read(output_, buffer, sizeof buffer);
    if (count <= 0) {
      break;
    }
    output->append(buffer, static_cast<size_t>(count));
  }
  if (pid_ <= 0) {
    return -1;
  }
  int status = 0;
  waitpid(pid_, &status, 0);
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::string TemporaryFile(const std::string& text) {
  static TemporaryFiles files;
  std::string name = (std::filesystem::temp_directory_path() /
                      ("greengage-test-" + std::to_string(getpid()) + "-" +
                       std::to_string(files.names.size()) + ".ini"))
                         .string();
  files.names.push_back(name);
  std::ofstream(name) << text;
  return name;
}

}  // namespace greengage
