// A TCP relay that can stall or close its connections, or be cut.
#ifndef GREENGAGE_TESTS_HARNESS_TCP_RELAY_H_
#define GREENGAGE_TESTS_HARNESS_TCP_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

#include "greengage/state/endpoint.h"

namespace greengage {

// What a relay that is cut does to its connections.
enum class RelayCut : uint8_t {
  kNone,
  kReset,      // Resets existing and new ones.
  kHang,       // Accepts new ones, and forwards on none until the cut ends.
  kRefuseNew,  // Forwards on existing ones, while the system refuses new ones.
};

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

  // Ends the present cut and begins another one, or none.
  void Cut(RelayCut cut);

 private:
  class Pipe;

  TcpRelay(boost::asio::io_context& context, const Endpoint& target);
  void Accept();
  void ApplyCut(RelayCut cut);

  // Closes the listener but keeps its port, or listens at it again.
  void RefuseConnections();
  void ListenAgain();

  boost::asio::io_context& context_;
  const Endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const boost::asio::ip::tcp::endpoint address_;
  RelayCut cut_ = RelayCut::kNone;  // Used on the strand of the acceptor.
  std::atomic<size_t> accepted_ = 0;
  std::mutex mutex_;
  std::vector<std::shared_ptr<Pipe>> pipes_;
};

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_TCP_RELAY_H_
