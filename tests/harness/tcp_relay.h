// A TCP relay whose connections can be made to go silent.
#ifndef GREENGAGE_TESTS_HARNESS_TCP_RELAY_H_
#define GREENGAGE_TESTS_HARNESS_TCP_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

#include "greengage/state/endpoint.h"

namespace greengage {

// Forwards each connection to `target`. Runs on the io_context's threads.
class TcpRelay : public std::enable_shared_from_this<TcpRelay> {
 public:
  static std::shared_ptr<TcpRelay> Start(boost::asio::io_context& context,
                                         const Endpoint& target);

  Endpoint endpoint() const;

  // Connections forwarded so far.
  size_t accepted() const { return accepted_; }

  // From now on the connections that exist forward nothing, either way, but
  // stay open; new ones work.
  void SilenceConnections();

  // Closes all connections that exist.
  void CloseConnections();

  // From now on new connections are refused.
  void StopAccepting();

 private:
  class Pipe;

  TcpRelay(boost::asio::io_context& context, const Endpoint& target);
  void Accept();

  boost::asio::io_context& context_;
  const Endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<size_t> accepted_ = 0;
  std::mutex mutex_;
  std::vector<std::shared_ptr<Pipe>> pipes_;
};

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_TCP_RELAY_H_
