// Runs the HTTP server of a stand-in process from listening to shutdown.
#ifndef STANDINS_COMMON_SERVE_H_
#define STANDINS_COMMON_SERVE_H_

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

#include "greengage/transport/http_server.h"

namespace greengage::standins {

// Exit codes of the stand-ins.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;  // A Failure, printed on stderr.
inline constexpr int kExitUsage = 2;    // Invalid arguments.

// Listens on `listen` (IP:PORT), prints "listening IP:PORT" with the bound port
// and serves until shutdown. Blocks the calling thread, on which alone
// `handler` and `on_shutdown` run. SIGTERM and SIGINT run `on_shutdown` and
// close the listener; the call returns once all connections are closed, or 30 s
// after the signal. Returns the exit code of the process.
int Serve(boost::asio::io_context& context,
          const std::string& listen,
          const HttpServerLimits& limits,
          HttpHandler handler,
          const std::function<void()>& on_shutdown);

}  // namespace greengage::standins

#endif  // STANDINS_COMMON_SERVE_H_
