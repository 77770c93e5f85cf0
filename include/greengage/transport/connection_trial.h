// Finds out whether a server can be reached.
#ifndef GREENGAGE_TRANSPORT_CONNECTION_TRIAL_H_
#define GREENGAGE_TRANSPORT_CONNECTION_TRIAL_H_

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>

#include "greengage/state/endpoint.h"

namespace greengage {

// Opens a connection and closes it. `done` receives true if the connection was
// open within `timeout` and the server did not close it within `hold_time`.
void TryConnection(boost::asio::io_context& context,
                   const Endpoint& server,
                   std::chrono::milliseconds timeout,
                   std::chrono::milliseconds hold_time,
                   std::function<void(bool succeeded)> done);

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_CONNECTION_TRIAL_H_
