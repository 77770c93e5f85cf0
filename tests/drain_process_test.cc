// A draining searcher gets no new work a few seconds after its first drain
// signal.
#include <atomic>
#include <string>

#include "tests/harness/callers.h"
#include "tests/harness/deployment.h"
#include "tests/harness/naive_query.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

// Maximum time from the first drain signal at any instance to the last request.
constexpr std::chrono::seconds kDrainLimit{5};
constexpr std::chrono::seconds kObservationTime{2};

uint64_t CountReceived(const Process& searcher) {
  return Call(searcher.endpoint(), "GET", "/counters").Number("received");
}

void SendQuery(const Deployment& deployment, size_t instance) {
  deployment.Query(instance, {{"text", "tea"}, {"deadline_ms", 1000}});
}

// Waits kDrainLimit for the drain signal to spread, then counts the requests
// during kObservationTime.
uint64_t CountReceivedAfterDrain(const Process& searcher) {
  std::this_thread::sleep_for(kDrainLimit);
  const uint64_t before = CountReceived(searcher);
  std::this_thread::sleep_for(kObservationTime);
  return CountReceived(searcher) - before;
}

Test(Drain, NaiveClientKeepsSending) {
  Deployment deployment({.shards = 1, .replicas = 2});
  Process& leaving = deployment.searcher(0, 0);
  SetFaults(leaving.endpoint(), {{"drain", true}, {"drain_refuses", false}});
  const uint64_t before = CountReceived(leaving);
  for (int i = 0; i < 20; ++i) {
    NaiveQuery(deployment, 1, "naive-" + std::to_string(i), "tea", 20);
  }
  cr_assert(CountReceived(leaving) == before + 20);
}

// The searcher announces the drain only in its answers. It still runs the
// requests that it gets, and its health endpoint reports success.
Test(Drain, DrainingSearcherGetsNoNewWork) {
  Deployment deployment({.data_centres = 2, .shards = 2, .replicas = 2});
  Callers callers(4, [&](size_t thread, size_t) {
    SendQuery(deployment, thread % deployment.instances());
  });
  Process& leaving = deployment.searcher(0, 0);
  cr_assert(Eventually([&] { return CountReceived(leaving) > 20; }));
  SetFaults(leaving.endpoint(),
            {{"drain", true}, {"drain_refuses", false}, {"health", "ok"}});
  const uint64_t late = CountReceivedAfterDrain(leaving);
  callers.Stop();
  cr_expect(late == 0, "%zu received late", static_cast<size_t>(late));
}

Test(Drain, RejectingSearcherGetsNoNewWork) {
  Deployment deployment({.data_centres = 2, .shards = 2, .replicas = 2});
  std::atomic<size_t> unanswered{0};
  Callers callers(4, [&](size_t thread, size_t) {
    const JsonReply reply =
        deployment.Query(thread % deployment.instances(),
                         {{"text", "tea"}, {"deadline_ms", 1000}});
    unanswered += reply.Text("outcome") == "answered" ? 0 : 1;
  });
  Process& leaving = deployment.searcher(0, 0);
  cr_assert(Eventually([&] { return CountReceived(leaving) > 20; }));
  SetFaults(leaving.endpoint(), {{"drain", true}, {"health", "ok"}});
  const uint64_t late = CountReceivedAfterDrain(leaving);
  callers.Stop();
  cr_log_info("%zu of %zu queries unanswered", unanswered.load(),
              callers.completed());
  cr_expect(late == 0, "%zu received late", static_cast<size_t>(late));
}

// Two concurrent faults: the instance that gets the first drain signals is
// killed immediately.
Test(Drain, DrainingSearcherGetsNoNewWorkAfterItsOwnerCrashes) {
  Deployment deployment(
      {.instances_per_data_centre = 3, .shards = 2, .replicas = 2});
  Callers callers(4, [&](size_t thread, size_t) {
    SendQuery(deployment, 1 + thread % (deployment.instances() - 1));
  });
  Process& leaving = deployment.searcher(0, 0);
  cr_assert(Eventually([&] { return CountReceived(leaving) > 20; }));
  SetFaults(leaving.endpoint(),
            {{"drain", true}, {"drain_refuses", false}, {"health", "ok"}});
  deployment.instance(0).Kill();
  const uint64_t late = CountReceivedAfterDrain(leaving);
  callers.Stop();
  cr_expect(late == 0, "%zu received late", static_cast<size_t>(late));
}

}  // namespace
}  // namespace greengage
