#include "tests/harness/program.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

extern char** environ;

namespace greengage {

namespace {

std::string PathOf(const std::string& name) {
  const char* folder = std::getenv("GREENGAGE_BIN_DIR");
  return std::string(folder != nullptr ? folder : "build/bin") + "/" + name;
}

// Names of files to remove at exit.
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

Program::Program(const std::string& name, std::vector<std::string> arguments) {
  std::string path = PathOf(name);
  std::vector<char*> argv{path.data()};
  for (std::string& argument : arguments) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0) {
    return;
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
  if (posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(),
                  environ) != 0) {
    pid_ = -1;
  }
  posix_spawn_file_actions_destroy(&actions);
  close(ends[1]);
  output_ = ends[0];
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

uint16_t FreePort() {
  namespace ip = boost::asio::ip;
  boost::asio::io_context context;
  const auto loopback = ip::address_v4::loopback();
  for (;;) {
    ip::tcp::acceptor stream(context, {loopback, 0});
    const uint16_t port = stream.local_endpoint().port();
    ip::udp::socket datagram(context);
    datagram.open(ip::udp::v4());
    boost::system::error_code error;
    datagram.bind({loopback, port}, error);
    if (!error) {
      return port;
    }
  }
}

std::string TemporaryFile(const std::string& text) {
  static TemporaryFiles files;
  const std::string name = (std::filesystem::temp_directory_path() /
                            ("greengage-test-" + std::to_string(getpid()) +
                             "-" + std::to_string(files.names.size()) + ".ini"))
                               .string();
  files.names.push_back(name);
  std::ofstream(name) << text;
  return name;
}

}  // namespace greengage
