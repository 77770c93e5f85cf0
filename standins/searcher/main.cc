// greengage-searcher: a stand-in for an upstream that answers sub-requests.
#include <CLI/CLI.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "standins/common/serve.h"
#include "standins/searcher/faults.h"
#include "standins/searcher/searcher.h"

namespace greengage::standins {

namespace {

constexpr char kExamples[] =
    "Examples:\n"
    "  greengage-searcher --listen 127.0.0.1:7101 --versions 11,12\n"
    "  greengage-searcher --listen 127.0.0.1:0 --hold table-finder:0-99 "
    "--slots 3\n"
    "  greengage-searcher --service-us 800 --straggler-percent 1 "
    "--straggler-ms 200\n"
    "  curl -d '{\"drain\": true}' http://127.0.0.1:7101/faults";

struct Arguments {
  std::string listen = "127.0.0.1:0";
  uint32_t slots = 2;
  size_t queue = 4;
  size_t connections = 256;
  uint64_t seed = 1;
  uint32_t service_us = 500;
  uint32_t straggler_percent = 0;
  uint32_t straggler_ms = 100;
  std::vector<uint64_t> versions{1};
  std::vector<std::string> holds;
};

void AddOptions(CLI::App& app, Arguments& arguments) {
  app.set_version_flag("--version", GREENGAGE_VERSION);
  app.footer(kExamples);
  app.add_option("--listen", arguments.listen,
                 "IP:PORT to listen on; port 0 takes a free one")
      ->capture_default_str();
  app.add_option("--slots", arguments.slots, "Requests run at once")
      ->check(CLI::Range(1, 1024))
      ->capture_default_str();
  app.add_option("--queue", arguments.queue, "Requests that wait for a slot")
      ->check(CLI::Range(0, 100000))
      ->capture_default_str();
  app.add_option("--connections", arguments.connections,
                 "Most connections open at once")
      ->check(CLI::Range(1, 100000))
      ->capture_default_str();
  app.add_option("--seed", arguments.seed, "Seed of the service times")
      ->capture_default_str();
  app.add_option("--service-us", arguments.service_us,
                 "Mean service time in microseconds")
      ->capture_default_str();
  app.add_option("--straggler-percent", arguments.straggler_percent,
                 "Share of requests that take longer")
      ->check(CLI::Range(0, 100))
      ->capture_default_str();
  app.add_option("--straggler-ms", arguments.straggler_ms,
                 "How much longer those take, in milliseconds")
      ->capture_default_str();
  app.add_option("--versions", arguments.versions, "Index versions held")
      ->delimiter(',')
      ->capture_default_str();
  app.add_option("--hold", arguments.holds,
                 "SERVICE:FIRST-LAST held, repeatable; default: all keys");
}

// Parses SERVICE:FIRST-LAST and adds it to `ranges`. Fails with
// kInvalidArgument.
Result<Done> ParseHold(const std::string& text,
                       std::map<std::string, std::vector<KeyRange>>& ranges) {
  const size_t colon = text.rfind(':');
  const size_t dash = text.rfind('-');
  uint64_t first = 0;
  uint64_t last = 0;
  const bool split = colon != std::string::npos && dash != std::string::npos &&
                     colon > 0 && dash > colon;
  if (!split ||
      !CLI::detail::lexical_cast(text.substr(colon + 1, dash - colon - 1),
                                 first) ||
      !CLI::detail::lexical_cast(text.substr(dash + 1), last) || first > last) {
    return Failure{FailureKind::kInvalidArgument, "--hold",
                   "must be SERVICE:FIRST-LAST, was '" + text + "'"};
  }
  ranges[text.substr(0, colon)].push_back(KeyRange{first, last + 1});
  return Done{};
}

Result<SearcherOptions> MakeOptions(const Arguments& arguments) {
  SearcherOptions options;
  options.slots = arguments.slots;
  options.queue_limit = arguments.queue;
  options.seed = arguments.seed;
  ServiceTime& time = options.faults.service_time;
  time.base = std::chrono::microseconds(arguments.service_us);
  time.straggler_percent = arguments.straggler_percent;
  time.straggler_delay = std::chrono::milliseconds(arguments.straggler_ms);
  options.faults.hosted_index.versions = arguments.versions;
  std::sort(options.faults.hosted_index.versions.begin(),
            options.faults.hosted_index.versions.end());
  for (const std::string& text : arguments.holds) {
    const Result<Done> parsed =
        ParseHold(text, options.faults.hosted_index.ranges);
    if (!parsed) {
      return parsed.last_reason();
    }
  }
  return options;
}

int Main(int argc, char** argv) {
  CLI::App app("Stand-in for a searcher, with fault switches over HTTP");
  Arguments arguments;
  AddOptions(app, arguments);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitSuccess : kExitUsage;
  }
  const Result<SearcherOptions> options = MakeOptions(arguments);
  if (!options) {
    std::cerr << Describe(options.last_reason()) << std::endl;
    return kExitUsage;
  }
  boost::asio::io_context context(1);
  Searcher searcher(context, *options);
  HttpServerLimits limits;
  limits.connections = arguments.connections;
  return Serve(
      context, arguments.listen, limits,
      [&searcher](const HttpRequest& request,
                  const std::shared_ptr<HttpExchange>& exchange) {
        searcher.Handle(request, exchange);
      },
      [&searcher] { searcher.Drain(); });
}

}  // namespace

}  // namespace greengage::standins

int main(int argc, char** argv) {
  return greengage::standins::Main(argc, argv);
}
