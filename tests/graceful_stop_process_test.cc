// Every planned stop is a graceful shutdown that cuts off no request.
#include <atomic>
#include <csignal>
#include <string>

#include "tests/harness/callers.h"
#include "tests/harness/deployment.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr char kQuickStop[] = "[stop]\nnotice_ms = 500\ngrace_ms = 10000\n";

// A balancer that checks readiness now and then: requests go to instance 0 as
// long as its last check found it ready, to instance 1 otherwise.
class Balancer {
 public:
  explicit Balancer(const Deployment& deployment) : deployment_(deployment) {}

  void Check() { first_ready_ = deployment_.Ready(0); }

  void Send(size_t thread, size_t turn) {
    const bool idempotent = turn % 4 != 0;
    const JsonReply reply = deployment_.Query(
        first_ready_ ? 0 : 1,
        {{"request_id",
          MakeRequestId(std::to_string(thread) + "-" + std::to_string(turn))},
         {"text", "tea"},
         {"idempotent", idempotent},
         {"key", turn % kKeysPerShard},
         {"deadline_ms", 2000}});
    if (reply.status == 0) {
      ++cut_off_;
    } else if (reply.Text("outcome") == "answered") {
      ++answered_;
    } else {
      ++refused_;
    }
  }

  size_t cut_off() const { return cut_off_; }
  size_t answered() const { return answered_; }
  size_t refused() const { return refused_; }

 private:
  const Deployment& deployment_;
  std::atomic<bool> first_ready_{true};
  std::atomic<size_t> cut_off_{0};
  std::atomic<size_t> answered_{0};
  std::atomic<size_t> refused_{0};
};

// Stops instance 0 by `stop` under load; the balancer checks every 100 ms.
void StopUnderLoad(Balancer& balancer,
                   Deployment& deployment,
                   const std::function<void()>& stop) {
  Callers callers(
      6, [&](size_t thread, size_t turn) { balancer.Send(thread, turn); });
  cr_assert(Eventually([&] { return callers.made() > 50; }));
  stop();
  cr_expect(Eventually([&] {
    balancer.Check();
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    return !deployment.Ready(0);
  }));
  balancer.Check();
  const size_t before = callers.made();
  cr_expect(Eventually([&] { return callers.made() > before + 50; }));
}

DeploymentShape Shape() {
  return {.shards = 2,
          .replicas = 2,
          .searcher_arguments = {"--service-us", "3000", "--queue", "64"},
          .instance_settings = kQuickStop};
}

Test(GracefulStop, NaiveKillCutsRequestsOff) {
  Deployment deployment(Shape());
  Balancer balancer(deployment);
  StopUnderLoad(balancer, deployment, [&] { deployment.instance(0).Kill(); });
  cr_expect(balancer.cut_off() > 0);
}

Test(GracefulStop, CutsNoRequestOff) {
  Deployment deployment(Shape());
  Balancer balancer(deployment);
  StopUnderLoad(balancer, deployment,
                [&] { deployment.instance(0).Signal(SIGTERM); });
  cr_expect(deployment.instance(0).WaitForExit(kTestTimeout) == 0);
  cr_log_info("%zu answered, %zu refused", balancer.answered(),
              balancer.refused());
  cr_expect(balancer.cut_off() == 0, "%zu cut off", balancer.cut_off());
  cr_expect(balancer.refused() == 0, "%zu refused", balancer.refused());
}

// Two at once: a second signal during a platform outage.
Test(GracefulStop, SecondSignalDuringAnOutageCutsNoRequestOff) {
  Deployment deployment(Shape());
  Balancer balancer(deployment);
  StopUnderLoad(balancer, deployment, [&] {
    SetFaults(deployment.platform(), {{"down", true}});
    deployment.instance(0).Signal(SIGTERM);
    deployment.instance(0).Signal(SIGTERM);
  });
  cr_expect(deployment.instance(0).WaitForExit(kTestTimeout) == 0);
  cr_expect(balancer.cut_off() == 0, "%zu cut off", balancer.cut_off());
}

Test(GracefulStop, StandInsStopWithoutCuttingOff) {
  Deployment deployment(Shape());
  for (size_t replica = 0; replica < 2; ++replica) {
    deployment.searcher(0, replica).Signal(SIGTERM);
    cr_expect(deployment.searcher(0, replica).WaitForExit(kTestTimeout) == 0);
  }
  deployment.platform_process().Signal(SIGTERM);
  cr_expect(deployment.platform_process().WaitForExit(kTestTimeout) == 0);
}

}  // namespace
}  // namespace greengage
