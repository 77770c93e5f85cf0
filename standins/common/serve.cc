#include "standins/common/serve.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <iostream>
#include <utility>

#include "greengage/state/time.h"

namespace greengage::standins {

namespace {

constexpr std::chrono::milliseconds kDrainPollInterval{10};
constexpr std::chrono::seconds kDrainTimeout{30};

// Stops `context` when no connection is open, or once `deadline` has passed.
void StopWhenIdle(boost::asio::io_context& context,
                  const std::shared_ptr<HttpServer>& server,
                  const std::shared_ptr<boost::asio::steady_timer>& timer,
                  TimePoint deadline) {
  if (server->connections() == 0 || timer->expiry() >= deadline) {
    context.stop();
    return;
  }
  timer->expires_after(kDrainPollInterval);
  timer->async_wait([&context, server, timer, deadline](auto) {
    StopWhenIdle(context, server, timer, deadline);
  });
}

int Fail(const Failure& failure) {
  std::cerr << Describe(failure) << std::endl;
  return kExitFailure;
}

}  // namespace

int Serve(boost::asio::io_context& context,
          const std::string& listen,
          const HttpServerLimits& limits,
          HttpHandler handler,
          const std::function<void()>& on_shutdown) {
  const Result<Endpoint> endpoint = ParseEndpoint(listen);
  if (!endpoint) {
    return Fail(endpoint.last_reason());
  }
  Result<std::shared_ptr<HttpServer>> listener =
      HttpServer::Listen(context, *endpoint, limits, std::move(handler));
  if (!listener) {
    return Fail(listener.last_reason());
  }
  const std::shared_ptr<HttpServer> server = *listener;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (error) {
      return;
    }
    on_shutdown();
    server->StopAccepting();
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        context, kDrainPollInterval);
    StopWhenIdle(context, server, timer, timer->expiry() + kDrainTimeout);
  });
  std::cout << "listening " << ToString(server->endpoint()) << std::endl;
  context.run();
  return kExitSuccess;
}

}  // namespace greengage::standins
