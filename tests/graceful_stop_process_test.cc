// A planned stop is a graceful shutdown: no caller loses its connection before
// the answer to its request.
#include <atomic>
#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "tests/harness/callers.h"
#include "tests/harness/deployment.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr char kShortStopSettings[] =
    "[stop]\nnotice_ms = 500\ngrace_ms = 10000\n";

// A load balancer that probes readiness periodically. Requests go to instance 0
// while its last probe succeeded, and to instance 1 otherwise.
class Balancer {
 public:
  explicit Balancer(const Deployment& deployment) : deployment_(deployment) {}

  void Probe() { first_ready_ = deployment_.Ready(0); }

  void Send(size_t thread, size_t index) {
    const bool idempotent = index % 4 != 0;
    const JsonReply reply = deployment_.Query(
        first_ready_ ? 0 : 1,
        {{"request_id",
          MakeRequestId(std::to_string(thread) + "-" + std::to_string(index))},
         {"text", "tea"},
         {"idempotent", idempotent},
         {"key", index % kKeysPerShard},
         {"deadline_ms", 2000}});
    if (reply.status == 0) {
      ++lost_;
    } else if (reply.Text("outcome") == "answered") {
      ++answered_;
    } else {
      ++rejected_;
    }
  }

  size_t lost() const { return lost_; }
  size_t answered() const { return answered_; }
  size_t rejected() const { return rejected_; }

 private:
  const Deployment& deployment_;
  std::atomic<bool> first_ready_{true};
  std::atomic<size_t> lost_{0};
  std::atomic<size_t> answered_{0};
  std::atomic<size_t> rejected_{0};
};

// Stops instance 0 with `stop` under load while the balancer probes it every
// 100 ms.
void StopUnderLoad(Balancer& balancer,
                   Deployment& deployment,
                   const std::function<void()>& stop) {
  Callers callers(
      6, [&](size_t thread, size_t index) { balancer.Send(thread, index); });
  cr_assert(Eventually([&] { return callers.completed() > 50; }));
  stop();
  cr_expect(Eventually([&] {
    balancer.Probe();
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    return !deployment.Ready(0);
  }));
  balancer.Probe();
  const size_t before = callers.completed();
  cr_expect(Eventually([&] { return callers.completed() > before + 50; }));
}

DeploymentShape Shape() {
  return {.shards = 2,
          .replicas = 2,
          .searcher_arguments = {"--service-us", "3000", "--queue", "64"},
          .instance_settings = kShortStopSettings};
}

Test(GracefulStop, KillLosesRequests) {
  Deployment deployment(Shape());
  Balancer balancer(deployment);
  StopUnderLoad(balancer, deployment, [&] { deployment.instance(0).Kill(); });
  cr_expect(balancer.lost() > 0);
}

Test(GracefulStop, LosesNoRequest) {
  Deployment deployment(Shape());
  Balancer balancer(deployment);
  StopUnderLoad(balancer, deployment,
                [&] { deployment.instance(0).Signal(SIGTERM); });
  cr_expect(deployment.instance(0).WaitForExit(kTestTimeout) == 0);
  cr_log_info("%zu answered, %zu rejected", balancer.answered(),
              balancer.rejected());
  cr_expect(balancer.lost() == 0, "%zu without a response", balancer.lost());
  cr_expect(balancer.rejected() == 0, "%zu rejected", balancer.rejected());
}

// Two concurrent faults: a second signal during a platform outage.
Test(GracefulStop, SecondSignalDuringAnOutageLosesNoRequest) {
  Deployment deployment(Shape());
  Balancer balancer(deployment);
  StopUnderLoad(balancer, deployment, [&] {
    SetFaults(deployment.platform(), {{"down", true}});
    deployment.instance(0).Signal(SIGTERM);
    deployment.instance(0).Signal(SIGTERM);
  });
  cr_expect(deployment.instance(0).WaitForExit(kTestTimeout) == 0);
  cr_expect(balancer.lost() == 0, "%zu without a response", balancer.lost());
}

// Guards against queries that are cut off since they outlast the stop.
Test(GracefulStop, QueriesInFlightAtTheEndAreAnswered) {
  Deployment deployment(
      {.instances_per_data_centre = 1,
       .shards = 1,
       .replicas = 1,
       .searcher_arguments = {"--service-us", "6000000"},
       .instance_settings = "[stop]\nnotice_ms = 200\ngrace_ms = 1000\n"});
  std::vector<std::future<JsonReply>> replies;
  for (const bool idempotent : {true, false}) {
    replies.push_back(std::async(std::launch::async, [&deployment, idempotent] {
      return deployment.Query(
          0, {{"request_id", MakeRequestId(idempotent ? "read" : "write")},
              {"text", "tea"},
              {"idempotent", idempotent},
              {"key", 1},
              {"deadline_ms", 8000}});
    }));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  deployment.instance(0).Signal(SIGTERM);
  for (std::future<JsonReply>& reply : replies) {
    const JsonReply answer = reply.get();
    cr_expect(answer.status == 504, "status %u", answer.status);
    cr_expect(answer.Text("outcome") == "unknown");
    cr_expect(answer.Text("request_id") != "");
  }
  cr_expect(deployment.instance(0).WaitForExit(kTestTimeout) == 0);
}

Test(GracefulStop, PlatformAndSearchersStopGracefully) {
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
