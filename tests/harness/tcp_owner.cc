#include "tests/harness/tcp_owner.h"

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <sstream>
#include <string>

namespace greengage {
namespace {

// Returns the inodes of the sockets with the local port, separated by spaces.
// The table may have many thousand lines, of which only few are parsed.
std::string InodesOf(uint16_t port) {
  constexpr int kFieldsBeforeInode = 8;
  std::ifstream file("/proc/net/tcp");
  const std::string table{std::istreambuf_iterator<char>(file), {}};
  std::ostringstream local;
  local << ": 0100007F:" << std::uppercase << std::hex << std::setw(4)
        << std::setfill('0') << port << ' ';
  std::string inodes = " ";
  for (size_t at = table.find(local.str()); at != std::string::npos;
       at = table.find(local.str(), at + 1)) {
    std::istringstream fields(table.substr(at + 1, table.find('\n', at) - at));
    std::string field;
    for (int i = 0; i <= kFieldsBeforeInode && fields >> field; ++i) {
    }
    inodes += field + " ";
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
