// The daemon of one entry instance.
#include <CLI/CLI.hpp>
#include <boost/asio.hpp>

#include <iostream>
#include <thread>
#include <vector>

#include "greengage/greengage.h"
#include "platform/routed_platform.h"

namespace greengage {
namespace {

// Exit codes, as documented in docs/OPERATIONS.md.
constexpr int kExitOk = 0;
constexpr int kExitSettings = 2;
constexpr int kExitStart = 3;

constexpr char kExamples[] =
    "Examples:\n"
    "  greengaged --settings /etc/greengage/instance.ini\n"
    "  greengaged --settings instance.ini --check\n"
    "  greengaged --print-settings\n";

// Asks for a graceful stop on SIGTERM and SIGINT. A signal that comes while
// the stop is under way is logged and changes nothing, so that no request is
// cut off.
class SignalHandler {
 public:
  SignalHandler(boost::asio::io_context& context,
                std::function<void()> on_first)
      : signals_(context, SIGTERM, SIGINT), on_first_(std::move(on_first)) {
    Wait();
  }

 private:
  void Wait() {
    signals_.async_wait([this](auto error, int) {
      if (error) {
        return;
      }
      if (on_first_) {
        std::exchange(on_first_, nullptr)();
      } else {
        LogFailure(LogLevel::kWarning,
                   Failure{FailureKind::kShuttingDown, "signal",
                           "a graceful stop is under way already"});
      }
      Wait();
    });
  }

  boost::asio::signal_set signals_;
  std::function<void()> on_first_;
};

void RunThreads(boost::asio::io_context& context, size_t count) {
  std::vector<std::thread> threads;
  for (size_t i = 1; i < count; ++i) {
    threads.emplace_back([&context] { context.run(); });
  }
  context.run();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

// Serves until a signal asks for a stop.
template <typename Instance>
int Serve(boost::asio::io_context& context,
          const Result<std::shared_ptr<Instance>>& instance,
          size_t threads) {
  if (!instance) {
    std::cerr << "greengaged: " << Describe(instance.last_reason()) << '\n';
    return kExitStart;
  }
  std::cout << "listening " << ToString((*instance)->http_endpoint())
            << std::endl;
  const SignalHandler signals(
      context, [&] { (*instance)->Stop([&context] { context.stop(); }); });
  RunThreads(context, threads);
  return kExitOk;
}

int RunQueries(const InstanceSettings& settings) {
  StartLog(settings.id, settings.log_format, settings.log_level);
  boost::asio::io_context context;
  return Serve(context, EntryInstance::Start(context, settings),
               settings.threads);
}

// One thread: the machines of the users' platform run one at a time, and the
// decisions need no locks then.
int RunRouted(const InstanceSettings& settings) {
  StartLog(settings.id, LogFormat::kJson, settings.log_level,
           LogOutput::kStandardOutput);
  boost::asio::io_context context(1);
  return Serve(context,
               RoutedInstance::Start(
                   context, settings,
                   platform::MakeRoutedPlatform(context, settings.platform,
                                                settings.platform_timeout)),
               1);
}

int Run(const InstanceSettings& settings) {
  return settings.dialect == PlatformDialect::kObjects ? RunRouted(settings)
                                                       : RunQueries(settings);
}

int Main(int argc, char** argv) {
  CLI::App app("Entry instance of greengageusher, a query tier over shards.",
               "greengaged");
  app.footer(kExamples);
  app.set_version_flag("--version", GREENGAGE_VERSION);
  std::string path;
  bool check = false;
  bool print = false;
  app.add_option("--settings", path, "INI file with this instance's settings");
  app.add_flag("--check", check, "Check the settings and end");
  app.add_flag("--print-settings", print,
               "Print all settings, or the defaults without a file");
  CLI11_PARSE(app, argc, argv);
  if (print && path.empty()) {
    std::cout << PrintInstanceSettings(DefaultInstanceSettings());
    return kExitOk;
  }
  if (path.empty()) {
    std::cerr << "greengaged: missing_key: --settings: a file is required\n";
    return kExitSettings;
  }
  const Validated<InstanceSettings> settings = LoadInstanceSettings(path);
  if (!settings) {
    for (const Failure& failure : settings.failures()) {
      std::cerr << "greengaged: " << Describe(failure) << '\n';
    }
    return kExitSettings;
  }
  if (print) {
    std::cout << PrintInstanceSettings(*settings);
  }
  return check || print ? kExitOk : Run(*settings);
}

}  // namespace
}  // namespace greengage

int main(int argc, char** argv) {
  return greengage::Main(argc, argv);
}
