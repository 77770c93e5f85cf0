#include "transport/configuration_fetch.h"

#include <boost/asio/io_context.hpp>

#include "greengage/protocol/configuration_delta.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

std::string ConfigurationWithTarget(int target_ms) {
  std::string text = "[deployment]\nname = demo\n";
  for (const char* rank : {"urgent", "normal", "background"}) {
    text += std::string("[rank ") + rank + "]\nname = " + rank +
            "\nfloor_percent = 5\ntarget_ms = 100\n";
  }
  return text + "[service s]\nkey_space = 10\ndeadline_ms = " +
         std::to_string(target_ms) +
         "\n[shard s/0]\nrange = 0-9\nreplicas = 127.0.0.1:9\n"
         "[searcher 127.0.0.1:9]\ndata_centre = a\n";
}

// An instance that has activated versions 1 to 6, with targets 101 to 106.
struct Source {
  Source() {
    for (int version = 1; version <= 6; ++version) {
      (void)service->Activate({static_cast<uint64_t>(version),
                               ConfigurationWithTarget(100 + version)});
    }
  }

  boost::asio::io_context context;
  HybridClock clock;
  EventLog events{"source", 100, &clock};
  std::shared_ptr<ConfigurationService> service =
      std::make_shared<ConfigurationService>(
          context,
          &events,
          ConfigurationService::Hooks{{}, {}, [](const auto&) {}});
};

// A peer client that gets each reply from `source` synchronously and counts the
// replies.
class FakePeerClient : public PeerClient {
 public:
  explicit FakePeerClient(Source& source) : source_(source) {}

  StreamId Open(std::string /*path*/,
                std::string message,
                TimePoint /*deadline*/,
                MessageHook on_message,
                EndHook on_end) override {
    const auto reply =
        ServeConfiguration(message, *source_.service, source_.clock);
    if (reply) {
      deltas += ParseConfigurationReply(*reply)->delta.has_value() ? 1 : 0;
      ++replies;
      on_message(*reply);
    }
    on_end({});
    return 0;
  }
  void Cancel(StreamId /*id*/) override {}
  void Close() override {}

  int replies = 0;
  int deltas = 0;

 private:
  Source& source_;
};

struct Fixture {
  Source source;
  std::shared_ptr<FakePeerClient> client =
      std::make_shared<FakePeerClient>(source);

  Result<ConfigurationText> Fetch(std::optional<ConfigurationText> base) {
    HybridClock clock;
    std::optional<Result<ConfigurationText>> result;
    FetchConfiguration(
        client, std::move(base), clock,
        [&](const Result<ConfigurationText>& text) { result = text; });
    return *result;
  }
};

}  // namespace

Test(ConfigurationFetch, RepliesWithADeltaFromARecentVersion) {
  Fixture fixture;
  const auto text =
      fixture.Fetch(ConfigurationText{5, ConfigurationWithTarget(105)});
  cr_assert(text && text->version == 6 &&
            text->text == ConfigurationWithTarget(106));
  cr_assert(fixture.client->deltas == 1 && fixture.client->replies == 1);
}

Test(ConfigurationFetch, RepliesWithTheFullTextWithoutARecentVersion) {
  Fixture fixture;
  for (const auto& base :
       {std::optional<ConfigurationText>(),
        std::optional<ConfigurationText>({1, ConfigurationWithTarget(101)})}) {
    const auto text = fixture.Fetch(base);
    cr_assert(text && text->version == 6 &&
              text->text == ConfigurationWithTarget(106));
  }
  cr_assert(fixture.client->deltas == 0 && fixture.client->replies == 2);
}

Test(ConfigurationFetch, RequestsTheFullTextIfTheDeltaCannotBeApplied) {
  Fixture fixture;
  const auto text = fixture.Fetch(ConfigurationText{5, "[other]\n"});
  cr_assert(text && text->version == 6 &&
            text->text == ConfigurationWithTarget(106));
  cr_assert(fixture.client->deltas == 1 && fixture.client->replies == 2);
}

Test(ConfigurationFetch, FailsIfThereIsNoNewerVersion) {
  Fixture fixture;
  const auto text =
      fixture.Fetch(ConfigurationText{6, ConfigurationWithTarget(106)});
  cr_assert(!text.ok());
  cr_assert(text.last_reason().kind == FailureKind::kUnavailable);
}

}  // namespace greengage
