// A TCP relay that can stall or close its connections.
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

// Forwards each connection to `target`. Thread-safe; runs on the threads of the
// io_context.
class TcpRelay : public std::enable_shared_from_this<TcpRelay> {
 public:
  static std::shared_ptr<TcpRelay> Start(boost::asio::io_context& context,
                                         const Endpoint& target);

  Endpoint endpoint() const;

  // Returns the number of connections accepted so far.
  size_t accepted() const { return accepted_; }

  // Stops forwarding on the existing connections in both directions but keeps
  // them open. New connections are forwarded.
  void SilenceConnections();

  // Closes all existing connections.
  void CloseConnections();

  // Makes the system refuse new connections.
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
