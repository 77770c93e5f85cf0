#include "tests/harness/tcp_owner.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace greengage {
namespace {

// Returns the inodes of the sockets with the local port, separated by spaces.
std::string InodesOf(uint16_t port) {
  constexpr int kInodeField = 9;
  std::ifstream table("/proc/net/tcp");
  std::string inodes = " ";
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string field;
    std::string local;
    for (int i = 0; i <= kInodeField && fields >> field; ++i) {
      if (i == 1) {
        local = field;
      }
    }
    if (std::stoul(local.substr(local.find(':') + 1), nullptr, 16) == port) {
      inodes += field + " ";
    }
  }
  return inodes;
}

}  // namespace

bool OwnsTcpPort(pid_t process, uint16_t port) {
  const std::string inodes = InodesOf(port);
  const std::filesystem::path folder =
      "/proc/" + std::to_string(process) + "/fd";
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    const std::string target =
        std::filesystem::read_symlink(entry.path(), error).string();
    const std::string prefix = "socket:[";
    if (target.starts_with(prefix) &&
        inodes.find(
            " " +
            target.substr(prefix.size(), target.size() - prefix.size() - 1) +
            " ") != std::string::npos) {
      return true;
    }
  }
  return false;
}

}  // namespace greengage
