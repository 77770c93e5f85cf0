#include "greengage/transport/datagram_socket.h"

#include <chrono>
#include <future>
#include <string>
#include <utility>

#include "tests/harness/io_threads.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

Endpoint AnyPort() {
  return {"127.0.0.1", 0};
}

void Ignore(const Endpoint& /*sender*/, const std::string& /*datagram*/) {}

}  // namespace

Test(DatagramSocket, DeliversTheLargestDatagramAndDropsLargerOnes) {
  std::promise<std::pair<Endpoint, std::string>> received;
  IoThreads io(2);
  const auto receiver = *DatagramSocket::Bind(
      io.context(), AnyPort(), [&](Endpoint sender, std::string datagram) {
        received.set_value({std::move(sender), std::move(datagram)});
      });
  const auto sender = *DatagramSocket::Bind(io.context(), AnyPort(), Ignore);
  const std::string largest(kMaxDatagramBytes, 'x');
  sender->Send(receiver->endpoint(), largest + "x");
  sender->Send(receiver->endpoint(), largest);
  auto future = received.get_future();
  cr_assert(future.wait_for(std::chrono::seconds(5)) ==
            std::future_status::ready);
  const auto [from, datagram] = future.get();
  cr_assert(from == sender->endpoint());
  cr_assert(datagram == largest);
}

Test(DatagramSocket, ReceivesAfterSendingToAClosedPortAndReportsAPortInUse) {
  IoThreads io(2);
  std::promise<void> received;
  const auto socket = *DatagramSocket::Bind(
      io.context(), AnyPort(),
      [&](const Endpoint& /*sender*/, const std::string& /*datagram*/) {
        received.set_value();
      });
  const Endpoint endpoint = socket->endpoint();
  socket->Send({"127.0.0.1", 1}, "to a closed port");
  socket->Send(endpoint, "to itself");
  cr_assert(received.get_future().wait_for(std::chrono::seconds(5)) ==
            std::future_status::ready);
  const auto second = DatagramSocket::Bind(io.context(), endpoint, Ignore);
  cr_assert(second.last_reason().kind == FailureKind::kAddressInUse);
}

}  // namespace greengage
