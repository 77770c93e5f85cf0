#include "tests/harness/free_port.h"

#include <unistd.h>

#include <boost/asio.hpp>

namespace greengage {
namespace {

namespace ip = boost::asio::ip;

constexpr uint32_t kFirstPort = 10000;
constexpr uint32_t kPortCount = 20000;

// Distance between the first ports of two processes with adjacent ids.
constexpr uint32_t kPortsPerProcess = 97;

bool IsFree(uint16_t port) {
  boost::asio::io_context context;
  const auto loopback = ip::address_v4::loopback();
  boost::system::error_code error;
  ip::tcp::acceptor stream(context);
  stream.open(ip::tcp::v4());
  stream.bind({loopback, port}, error);
  if (error) {
    return false;
  }
  ip::udp::socket datagram(context);
  datagram.open(ip::udp::v4());
  datagram.bind({loopback, port}, error);
  return !error;
}

}  // namespace

uint16_t FreePort() {
  static uint32_t next = static_cast<uint32_t>(getpid()) * kPortsPerProcess;
  for (;;) {
    const auto port = static_cast<uint16_t>(kFirstPort + next++ % kPortCount);
    if (IsFree(port)) {
      return port;
    }
  }
}

}  // namespace greengage
