// Finds out whether a server can be reached.
#ifndef GREENGAGE_TRANSPORT_CONNECTION_TRIAL_H_
#define GREENGAGE_TRANSPORT_CONNECTION_TRIAL_H_

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <string>

#include "greengage/coordination/searcher_reach.h"
#include "greengage/state/endpoint.h"

namespace greengage {

// Maximum times for a connection to open and for an answer to begin.
struct TrialTimeouts {
  std::chrono::milliseconds connect{300};
  std::chrono::milliseconds answer{700};
};

// Sends a GET request for `target` on a new connection and closes it once an
// answer begins. An open connection alone proves nothing: a device on the way
// may accept it and reset it when it is used. `done` runs once.
void TryServer(boost::asio::io_context& context,
               const Endpoint& server,
               const std::string& target,
               const TrialTimeouts& timeouts,
               std::function<void(TrialResult result)> done);

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_CONNECTION_TRIAL_H_
