#include "tests/harness/process.h"

#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <thread>

#include "tests/harness/spawn.h"

#include <criterion/criterion.h>

namespace greengage {

namespace {

constexpr std::chrono::milliseconds kPollPeriod{5};
constexpr std::string_view kListening = "listening ";

}  // namespace

Process::Process(const std::string& program,
                 const std::vector<std::string>& arguments,
                 const std::string& log) {
  Start(program, arguments, log);
  ReadEndpoint();
}

Process::~Process() {
  Kill();
  close(output_);
}

void Process::Start(const std::string& program,
                    const std::vector<std::string>& arguments,
                    const std::string& log) {
  const Spawned spawned = Spawn(program, arguments, log);
  id_ = spawned.id;
  output_ = spawned.output;
  cr_assert(id_ > 0, "cannot start %s", program.c_str());
}

void Process::ReadEndpoint() {
  std::string text;
  const auto limit = std::chrono::steady_clock::now() + kTestTimeout;
  while (text.find('\n') == std::string::npos &&
         std::chrono::steady_clock::now() < limit) {
    pollfd waiting{.fd = output_, .events = POLLIN, .revents = 0};
    std::array<char, 256> buffer{};
    if (poll(&waiting, 1, 100) > 0) {
      const ssize_t size = read(output_, buffer.data(), buffer.size());
      if (size <= 0) {
        break;
      }
      text.append(buffer.data(), static_cast<size_t>(size));
    }
  }
  const size_t end = text.find('\n');
  const bool announced =
      text.starts_with(kListening) && end != std::string::npos;
  cr_assert(announced, "no address in the first line of process %d", id_);
  const std::string address =
      text.substr(kListening.size(), end - kListening.size());
  const Result<Endpoint> endpoint = ParseEndpoint(address);
  cr_assert(endpoint.ok());
  endpoint_ = *endpoint;
}

std::string Process::ReadOutput() const {
  std::string text;
  pollfd waiting{.fd = output_, .events = POLLIN, .revents = 0};
  while (poll(&waiting, 1, 0) > 0) {
    std::array<char, 4096> buffer{};
    const ssize_t size = read(output_, buffer.data(), buffer.size());
    if (size <= 0) {
      break;
    }
    text.append(buffer.data(), static_cast<size_t>(size));
  }
  return text;
}

void Process::Signal(int signal) const {
  if (!ended_) {
    kill(id_, signal);
  }
}

void Process::Kill() {
  if (!ended_) {
    kill(id_, SIGKILL);
    waitpid(id_, nullptr, 0);
    ended_ = true;
  }
}

std::optional<int> Process::WaitForExit(std::chrono::milliseconds patience) {
  const auto limit = std::chrono::steady_clock::now() + patience;
  while (!ended_ && std::chrono::steady_clock::now() < limit) {
    int status = 0;
    if (waitpid(id_, &status, WNOHANG) == id_) {
      ended_ = true;
      return WIFEXITED(status) ? std::optional<int>(WEXITSTATUS(status))
                               : std::nullopt;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return std::nullopt;
}

}  // namespace greengage
