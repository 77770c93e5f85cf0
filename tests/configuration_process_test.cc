// An accepted configuration is in force everywhere within seconds and never
// reverts.
#include <algorithm>
#include <chrono>
#include <csignal>
#include <future>
#include <memory>
#include <string>

#include "tests/harness/deployment.h"
#include "tests/harness/io_threads.h"
#include "tests/harness/tcp_relay.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr std::chrono::seconds kInForceLimit{7};

uint64_t Apply(const Deployment& deployment,
               const std::string& limits,
               uint64_t expected) {
  const JsonReply reply = deployment.PutConfiguration(
      deployment.ConfigurationText(limits), expected);
  cr_assert(reply.status == 200, "applying gave %u", reply.status);
  return reply.Number("version");
}

bool InForceEverywhere(const Deployment& deployment, uint64_t version) {
  return Eventually(
      [&] {
        for (size_t i = 0; i < deployment.instances(); ++i) {
          if (deployment.VersionAt(i) < version) {
            return false;
          }
        }
        return true;
      },
      kInForceLimit);
}

// Reaches the platform through a relay per instance, so that each can be cut
// off alone.
struct CutOff {
  CutOff() : threads(1) {}

  std::function<Endpoint(const Endpoint&)> Reach() {
    return [this](const Endpoint& platform) {
      relays.push_back(TcpRelay::Start(threads.context(), platform));
      return relays.back()->endpoint();
    };
  }

  IoThreads threads;
  std::vector<std::shared_ptr<TcpRelay>> relays;  // By instance.
};

Test(Configuration, NaiveUnconditionalWriteLosesAnAcceptedOne) {
  const Deployment deployment({.shards = 1});
  const std::string object = "/objects/naive/current";
  cr_assert(Call(deployment.platform(), "PUT", object, "first").status == 200);
  cr_assert(Call(deployment.platform(), "PUT", object, "second").status == 200);
  cr_assert(Call(deployment.platform(), "GET", object).Text("value") ==
            "second");
}

Test(Configuration, IsInForceEverywhereWithinSeconds) {
  const Deployment deployment(
      {.data_centres = 3, .instances_per_data_centre = 2, .shards = 1});
  for (int change = 0; change < 3; ++change) {
    const uint64_t version =
        Apply(deployment, "hedge_percent = " + std::to_string(change + 3),
              deployment.VersionAt(0));
    cr_expect(InForceEverywhere(deployment, version));
  }
}

Test(Configuration, RacingOperatorsHaveOneWinner) {
  const Deployment deployment({.shards = 1});
  const uint64_t base = deployment.VersionAt(0);
  constexpr int kOperators = 4;
  std::vector<std::future<JsonReply>> operators;
  operators.reserve(kOperators);
  for (int i = 0; i < kOperators; ++i) {
    operators.push_back(std::async(std::launch::async, [&, i] {
      return deployment.PutConfiguration(
          deployment.ConfigurationText("hedge_percent = " + std::to_string(i)),
          base);
    }));
  }
  size_t winners = 0;
  uint64_t version = 0;
  for (auto& reply : operators) {
    const JsonReply result = reply.get();
    winners += result.status == 200 ? 1 : 0;
    version = std::max(version, result.Number("version"));
  }
  cr_expect(winners == 1);
  cr_expect(InForceEverywhere(deployment, version));
}

// A data centre that reaches the platform no more hears from its peers.
Test(Configuration, ReachesInstancesThatAreCutOffFromThePlatform) {
  CutOff cut_off;
  const Deployment deployment({.data_centres = 2,
                               .instances_per_data_centre = 2,
                               .shards = 1,
                               .platform_proxy = cut_off.Reach()});
  const uint64_t base = deployment.VersionAt(0);
  for (size_t i = 2; i < 4; ++i) {
    cut_off.relays[i]->SilenceConnections();
    cut_off.relays[i]->CloseConnections();
    cut_off.relays[i]->StopAccepting();
  }
  const uint64_t version = Apply(deployment, "hedge_percent = 5", base);
  cr_expect(InForceEverywhere(deployment, version));
}

// Two at once: an instance is replaced during a platform outage, right after
// a change.
Test(Configuration, NeverRevertsOverARestartDuringAnOutage) {
  Deployment deployment({.instances_per_data_centre = 3, .shards = 1});
  const uint64_t version =
      Apply(deployment, "hedge_percent = 5", deployment.VersionAt(0));
  cr_assert(InForceEverywhere(deployment, version));
  SetFaults(deployment.platform(), {{"down", true}});
  deployment.instance(1).Kill();
  deployment.RestartInstance(1);
  cr_expect(Eventually([&] { return deployment.Ready(1); }));
  cr_expect(deployment.VersionAt(1) == version);
}

// A paused instance comes back with an old version and catches up; the others
// never take the old one.
Test(Configuration, NeverRevertsWhenAPausedInstanceComesBack) {
  Deployment deployment({.instances_per_data_centre = 3, .shards = 1});
  const uint64_t base = deployment.VersionAt(0);
  deployment.instance(2).Signal(SIGSTOP);
  const uint64_t version = Apply(deployment, "hedge_percent = 5", base);
  cr_expect(Eventually([&] { return deployment.VersionAt(0) == version; }));
  deployment.instance(2).Signal(SIGCONT);
  cr_expect(InForceEverywhere(deployment, version));
  cr_expect(deployment.VersionAt(0) == version);
}

// A file that is not valid never comes into force, and the next one does.
Test(Configuration, InvalidTextDoesNotReplaceTheOneInForce) {
  const Deployment deployment({.shards = 1});
  const uint64_t base = deployment.VersionAt(0);
  const JsonReply broken = deployment.PutConfiguration("[nonsense]\n", base);
  cr_assert(broken.status == 200);
  const uint64_t version =
      Apply(deployment, "hedge_percent = 5", broken.Number("version"));
  cr_expect(InForceEverywhere(deployment, version));
}

}  // namespace
}  // namespace greengage
