// The daemon of one entry instance.
#include <CLI/CLI.hpp>
#include <boost/asio.hpp>

#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
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

// Asks for a graceful stop on SIGTERM and SIGINT, and for a reload on SIGHUP.
// A signal that comes while the stop is under way is logged and changes
// nothing, so that no request is cut off.
class SignalHandler {
 public:
  SignalHandler(boost::asio::io_context& context,
                std::function<void()> on_stop,
                std::function<void()> on_reload)
      : signals_(context, SIGTERM, SIGINT, SIGHUP),
        on_stop_(std::move(on_stop)),
        on_reload_(std::move(on_reload)) {
    Wait();
  }

 private:
  void Wait() {
    signals_.async_wait([this](auto error, int signal) {
      if (error) {
        return;
      }
      Handle(signal);
      Wait();
    });
  }

  void Handle(int signal) {
    if (!on_stop_) {
      LogFailure(LogLevel::kWarning,
                 Failure{FailureKind::kShuttingDown, "signal",
                         "a graceful stop is under way already"});
    } else if (signal == SIGHUP) {
      on_reload_();
    } else {
      std::exchange(on_stop_, nullptr)();
    }
  }

  boost::asio::signal_set signals_;
  std::function<void()> on_stop_;
  const std::function<void()> on_reload_;
};

// Reads the settings anew for a reload; says in the log what is wrong with
// them, and that the present ones stay in force.
std::optional<InstanceSettings> ReadAgain(const std::string& path) {
  const Validated<InstanceSettings> settings = LoadInstanceSettings(path);
  if (settings) {
    return *settings;
  }
  for (const Failure& failure : settings.failures()) {
    LogFailure(LogLevel::kError, failure);
  }
  return std::nullopt;
}

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
          size_t threads,
          std::function<void()> on_reload) {
  if (!instance) {
    std::cerr << "greengaged: " << Describe(instance.last_reason()) << '\n';
    return kExitStart;
  }
  std::cout << "listening " << ToString((*instance)->http_endpoint())
            << std::endl;
  const SignalHandler signals(
      context, [&] { (*instance)->Stop([&context] { context.stop(); }); },
      std::move(on_reload));
  RunThreads(context, threads);
  return kExitOk;
}

int RunQueries(const InstanceSettings& settings, const std::string& path) {
  StartLog(settings.id, settings.log_format, settings.log_level);
  boost::asio::io_context context;
  // The configuration sets the log level here, and nothing else can change.
  return Serve(context, EntryInstance::Start(context, settings),
               settings.threads, [path] { (void)ReadAgain(path); });
}

// One thread: the machines of the users' platform run one at a time, and the
// decisions need no locks then.
int RunRouted(const InstanceSettings& settings, const std::string& path) {
  StartLog(settings.id, LogFormat::kJson, settings.log_level,
           LogOutput::kStandardOutput);
  boost::asio::io_context context(1);
  const auto instance = RoutedInstance::Start(
      context, settings,
      platform::MakeRoutedPlatform(context, settings.platform,
                                   settings.platform_timeout));
  return Serve(context, instance, 1, [&instance, path] {
    if (const auto changed = ReadAgain(path)) {
      (*instance)->Reload(*changed);
    }
  });
}

int Run(const InstanceSettings& settings, const std::string& path) {
  return settings.dialect == PlatformDialect::kObjects
             ? RunRouted(settings, path)
             : RunQueries(settings, path);
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
  return check || print ? kExitOk : Run(*settings, path);
}

}  // namespace
}  // namespace greengage

int main(int argc, char** argv) {
  return greengage::Main(argc, argv);
}
