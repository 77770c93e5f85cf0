// The life of a stand-in's process: listen, announce, serve, stop.
#ifndef STANDINS_COMMON_SERVE_H_
#define STANDINS_COMMON_SERVE_H_

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

#include "greengage/transport/http_server.h"

namespace greengage::standins {

// Exit codes of the stand-ins.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;  // A typed failure, printed on stderr.
inline constexpr int kExitUsage = 2;    // Wrong arguments.

// Listens on `listen` (IP:PORT), prints "listening IP:PORT" with the real port
// and serves on the calling thread, the only one that runs `handler`. SIGTERM
// and SIGINT run `stopping` and close the listener; the process ends once all
// requests under way have their answers. Gives back the exit code.
int Serve(boost::asio::io_context& context,
          const std::string& listen,
          const HttpServerLimits& limits,
          HttpHandler handler,
          const std::function<void()>& stopping);

}  // namespace greengage::standins

#endif  // STANDINS_COMMON_SERVE_H_
