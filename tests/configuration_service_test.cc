#include "greengage/transport/configuration_service.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <vector>

#include <criterion/criterion.h>

namespace greengage {

// A text that this release cannot parse must not be fetched and parsed again
// and again: the watch continues after its version.
Test(ConfigurationService, WatchesAfterTheVersionOfAnInvalidText) {
  boost::asio::io_context context;
  HybridClock clock;
  EventLog events("a", 100, &clock);
  std::vector<uint64_t> watched;
  ConfigurationService::Hooks hooks;
  hooks.watch = [&](uint64_t after,
                    const ConfigurationService::TextCallback& done) {
    watched.push_back(after);
    if (after < 9) {
      done(ConfigurationText{9, "[unknown]\nkey = 1\n"});
    }
  };
  const auto service = std::make_shared<ConfigurationService>(context, &events,
                                                              std::move(hooks));
  service->SetWatching(true);
  for (int round = 0; round < 3 && watched.back() < 9; ++round) {
    context.restart();
    context.run_one_for(std::chrono::seconds(2));
  }
  cr_assert(watched.back() == 9);
  cr_assert(service->current() == nullptr);
  service->Stop();
}

}  // namespace greengage
