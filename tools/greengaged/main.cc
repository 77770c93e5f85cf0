// greengaged: the daemon that runs one entry instance.
#include <CLI/CLI.hpp>
#include <boost/asio.hpp>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "greengage/greengage.h"
#include "greengage/transport/guard.h"
#include "greengage/transport/log.h"
#include "greengage/transport/log_line.h"
#include "platform/routed_platform.h"

namespace greengage {
namespace {

// Exit codes, as documented in docs/OPERATIONS.md.
constexpr int kExitOk = 0;
constexpr int kExitInvalidSettings = 2;
constexpr int kExitStartFailed = 3;

constexpr char kExamples[] =
    "Examples:\n"
    "  greengaged --settings /etc/greengage/instance.ini\n"
    "  greengaged --settings instance.ini --check\n"
    "  greengaged --print-settings\n";

// Starts a graceful shutdown on SIGTERM and SIGINT, and a reload on SIGHUP. A
// signal during the shutdown is only logged, so that it cannot abort requests
// in flight.
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
                         "ignored: a graceful shutdown is in progress"});
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

// Reads the settings for a reload. Logs each error of invalid settings and
// returns nullopt; the current settings stay active then.
std::optional<InstanceSettings> ReadChangedSettings(const std::string& path) {
  const Validated<InstanceSettings> settings = LoadInstanceSettings(path);
  if (settings) {
    return *settings;
  }
  for (const Failure& failure : settings.failures()) {
    LogFailure(LogLevel::kError, failure);
  }
  return std::nullopt;
}

// A handler that throws must not end the process, with all other requests.
void RunHandlers(boost::asio::io_context& context) {
  while (!context.stopped()) {
    RunGuarded("handler", [&context] { context.run(); });
  }
}

void RunThreads(boost::asio::io_context& context, size_t count) {
  std::vector<std::thread> threads;
  for (size_t i = 1; i < count; ++i) {
    threads.emplace_back([&context] { RunHandlers(context); });
  }
  RunHandlers(context);
  for (std::thread& thread : threads) {
    thread.join();
  }
}

// Runs the instance until a signal has shut it down. Returns the exit code.
template <typename Instance>
int RunUntilStopped(boost::asio::io_context& context,
                    const Result<std::shared_ptr<Instance>>& instance,
                    size_t threads,
                    std::function<void()> on_reload) {
  if (!instance) {
    std::cerr << "greengaged: " << Describe(instance.last_reason()) << '\n';
    return kExitStartFailed;
  }
  std::cout << "listening " << ToString((*instance)->http_endpoint())
            << std::endl;
  const SignalHandler signals(
      context, [&] { (*instance)->Stop([&context] { context.stop(); }); },
      std::move(on_reload));
  RunThreads(context, threads);
  return kExitOk;
}

int RunEntryInstance(const InstanceSettings& settings,
                     const std::string& path) {
  StartLog(settings.id, settings.log_format, settings.log_level);
  boost::asio::io_context context;
  // A reload only checks the settings: the log level comes from the
  // configuration, and no other setting can change at run time.
  return RunUntilStopped(context, EntryInstance::Start(context, settings),
                         settings.threads,
                         [path] { (void)ReadChangedSettings(path); });
}

// Runs on one thread: the users' platform runs its machines one at a time, so
// further threads gain nothing, and the routing decisions need no locks.
int RunRoutedInstance(const InstanceSettings& settings,
                      const std::string& path) {
  StartLog(settings.id, LogFormat::kJson, settings.log_level,
           LogOutput::kStandardOutput);
  boost::asio::io_context context(1);
  const auto instance = RoutedInstance::Start(
      context, settings,
      platform::MakeRoutedPlatform(context, settings.platform,
                                   settings.platform_timeout));
  return RunUntilStopped(context, instance, 1, [&instance, path] {
    if (const auto changed = ReadChangedSettings(path)) {
      (*instance)->Reload(*changed);
    }
  });
}

int Run(const InstanceSettings& settings, const std::string& path) {
  if (settings.dialect != PlatformDialect::kObjects) {
    return RunEntryInstance(settings, path);
  }
  const int exit_code = RunRoutedInstance(settings, path);
  LogLine(DecisionEvent::kProcessEnded).Add("exit_code", exit_code).Write();
  FlushLog();
  return exit_code;
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
  app.add_flag("--check", check, "Check the settings and exit");
  app.add_flag("--print-settings", print,
               "Print all settings; without --settings, print the defaults");
  CLI11_PARSE(app, argc, argv);
  if (print && path.empty()) {
    std::cout << PrintInstanceSettings(DefaultInstanceSettings());
    return kExitOk;
  }
  if (path.empty()) {
    std::cerr << "greengaged: missing_key: --settings: a file is required\n";
    return kExitInvalidSettings;
  }
  const Validated<InstanceSettings> settings = LoadInstanceSettings(path);
  if (!settings) {
    for (const Failure& failure : settings.failures()) {
      std::cerr << "greengaged: " << Describe(failure) << '\n';
    }
    return kExitInvalidSettings;
  }
  if (print) {
    std::cout << PrintInstanceSettings(*settings);
  }
  return check || print ? kExitOk : Run(*settings, path);
}

// Ends the process without the destructors of static objects. That of the log
// library waits for threads which block all signals, and may never end.
[[noreturn]] void Exit(int exit_code) {
  std::cout.flush();
  std::fflush(nullptr);
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
  std::exit(exit_code);  // Sanitizers report at the end.
#else
  std::_Exit(exit_code);
#endif
}

}  // namespace
}  // namespace greengage

int main(int argc, char** argv) {
  greengage::Exit(greengage::Main(argc, argv));
}
