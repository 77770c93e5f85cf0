// greengage-platform: a stand-in for the object API of the platform.
#include <CLI/CLI.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <string>

#include "standins/common/serve.h"
#include "standins/platform/platform.h"

namespace greengage::standins {

namespace {

constexpr size_t kMaxValueBytes = size_t{1024} * 1024;

constexpr char kExamples[] =
    "Examples:\n"
    "  greengage-platform --listen 127.0.0.1:7000\n"
    "  greengage-platform --listen 127.0.0.1:0 --instances-lag-ms 3000\n"
    "  curl -T value.ini 'http://127.0.0.1:7000/objects/configurations/demo"
    "?expected=0'\n"
    "  curl -d '{\"lose_answers\": 1}' http://127.0.0.1:7000/faults";

int Main(int argc, char** argv) {
  CLI::App app("Stand-in for the platform, with fault switches over HTTP");
  app.set_version_flag("--version", GREENGAGE_VERSION);
  app.footer(kExamples);
  std::string listen = "127.0.0.1:0";
  uint32_t instances_lag_ms = 0;
  app.add_option("--listen", listen,
                 "IP:PORT to listen on; port 0 takes a free one")
      ->capture_default_str();
  app.add_option("--instances-lag-ms", instances_lag_ms,
                 "How much later the list of instances shows a change")
      ->check(CLI::Range(0, 3600000))
      ->capture_default_str();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitSuccess : kExitUsage;
  }
  boost::asio::io_context context(1);
  Platform platform(context, std::chrono::milliseconds(instances_lag_ms));
  HttpServerLimits limits;
  limits.body_bytes = kMaxValueBytes;
  return Serve(
      context, listen, limits,
      [&platform](const HttpRequest& request,
                  const std::shared_ptr<HttpExchange>& exchange) {
        platform.Handle(request, exchange);
      },
      [&platform] { platform.Stop(); });
}

}  // namespace

}  // namespace greengage::standins

int main(int argc, char** argv) {
  return greengage::standins::Main(argc, argv);
}
