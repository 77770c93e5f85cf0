#include "tests/harness/tcp_owner.h"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <filesystem>
#include <optional>
#include <string>

#include <criterion/criterion.h>

namespace greengage {
namespace {

struct Request {
  nlmsghdr header{};
  inet_diag_req_v2 query{};
};

// Asks the kernel for one connection, which takes the same time however many
// there are. A table like /proc/net/tcp has a line for each.
std::optional<uint32_t> InodeOf(uint16_t port, uint16_t server_port) {
  Request request;
  request.header.nlmsg_len = sizeof(request);
  request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.header.nlmsg_flags = NLM_F_REQUEST;
  request.query.sdiag_family = AF_INET;
  request.query.sdiag_protocol = IPPROTO_TCP;
  request.query.idiag_states = ~0U;
  request.query.id.idiag_sport = htons(port);
  request.query.id.idiag_dport = htons(server_port);
  request.query.id.idiag_src[0] = htonl(INADDR_LOOPBACK);
  request.query.id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
  request.query.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  request.query.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  const int handle =
      socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  cr_assert(handle >= 0, "no socket diagnostics");
  alignas(nlmsghdr) std::array<char, 4096> answer{};
  const bool sent =
      send(handle, &request, sizeof(request), 0) == sizeof(request);
  const ssize_t size = sent ? recv(handle, answer.data(), answer.size(), 0) : 0;
  close(handle);
  cr_assert(size > 0, "no answer of the socket diagnostics");
  nlmsghdr header{};
  inet_diag_msg connection{};
  std::memcpy(&header, answer.data(), sizeof(header));
  if (header.nlmsg_type != SOCK_DIAG_BY_FAMILY) {
    return std::nullopt;
  }
  std::memcpy(&connection, answer.data() + NLMSG_HDRLEN, sizeof(connection));
  return connection.idiag_inode;
}

}  // namespace

bool OwnsTcpConnection(pid_t process, uint16_t port, uint16_t server_port) {
  const std::optional<uint32_t> inode = InodeOf(port, server_port);
  if (!inode) {
    return false;
  }
  const std::string link = "socket:[" + std::to_string(*inode) + "]";
  const std::filesystem::path folder =
      "/proc/" + std::to_string(process) + "/fd";
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    if (std::filesystem::read_symlink(entry.path(), error) == link) {
      return true;
    }
  }
  return false;
}

}  // namespace greengage
