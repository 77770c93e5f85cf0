// An upstream that is leaving receives no new work after a few seconds.
#include <atomic>
#include <string>

#include "tests/harness/callers.h"
#include "tests/harness/deployment.h"
#include "tests/harness/naive_query.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

// From the first sign of leaving at any instance.
constexpr std::chrono::seconds kNoticeLimit{5};
constexpr std::chrono::seconds kQuietTime{2};

uint64_t Received(const Process& searcher) {
  return Call(searcher.endpoint(), "GET", "/counters").Number("received");
}

void Ask(const Deployment& deployment, size_t instance) {
  deployment.Query(instance, {{"text", "tea"}, {"deadline_ms", 1000}});
}

// Lets the signs spread for kNoticeLimit, then counts for kQuietTime.
uint64_t ReceivedAfterNotice(const Process& searcher) {
  std::this_thread::sleep_for(kNoticeLimit);
  const uint64_t before = Received(searcher);
  std::this_thread::sleep_for(kQuietTime);
  return Received(searcher) - before;
}

Test(Drain, NaiveWayKeepsOnSending) {
  Deployment deployment({.shards = 1, .replicas = 2});
  Process& leaving = deployment.searcher(0, 0);
  SetFaults(leaving.endpoint(), {{"drain", true}, {"drain_refuses", false}});
  const uint64_t before = Received(leaving);
  for (int i = 0; i < 20; ++i) {
    NaiveQuery(deployment, 1, "naive-" + std::to_string(i), "tea", 20);
  }
  cr_assert(Received(leaving) == before + 20);
}

// The searcher says with its answers that it leaves, still runs what it gets,
// and its health end point says that all is well.
Test(Drain, LeavingSearcherGetsNoNewWork) {
  Deployment deployment({.data_centres = 2, .shards = 2, .replicas = 2});
  Callers callers(4, [&](size_t thread, size_t) {
    Ask(deployment, thread % deployment.instances());
  });
  Process& leaving = deployment.searcher(0, 0);
  cr_assert(Eventually([&] { return Received(leaving) > 20; }));
  SetFaults(leaving.endpoint(),
            {{"drain", true}, {"drain_refuses", false}, {"health", "ok"}});
  const uint64_t late = ReceivedAfterNotice(leaving);
  callers.Stop();
  cr_expect(late == 0, "%zu received late", static_cast<size_t>(late));
}

Test(Drain, RefusingSearcherGetsNoNewWork) {
  Deployment deployment({.data_centres = 2, .shards = 2, .replicas = 2});
  std::atomic<size_t> unanswered{0};
  Callers callers(4, [&](size_t thread, size_t) {
    const JsonReply reply =
        deployment.Query(thread % deployment.instances(),
                         {{"text", "tea"}, {"deadline_ms", 1000}});
    unanswered += reply.Text("outcome") == "answered" ? 0 : 1;
  });
  Process& leaving = deployment.searcher(0, 0);
  cr_assert(Eventually([&] { return Received(leaving) > 20; }));
  SetFaults(leaving.endpoint(), {{"drain", true}, {"health", "ok"}});
  const uint64_t late = ReceivedAfterNotice(leaving);
  callers.Stop();
  cr_log_info("%zu of %zu queries unanswered", unanswered.load(),
              callers.made());
  cr_expect(late == 0, "%zu received late", static_cast<size_t>(late));
}

// Two at once: the instance that saw the first signs dies at once.
Test(Drain, LeavingSearcherGetsNoNewWorkAfterItsOwnerDies) {
  Deployment deployment(
      {.instances_per_data_centre = 3, .shards = 2, .replicas = 2});
  Callers callers(4, [&](size_t thread, size_t) {
    Ask(deployment, 1 + thread % (deployment.instances() - 1));
  });
  Process& leaving = deployment.searcher(0, 0);
  cr_assert(Eventually([&] { return Received(leaving) > 20; }));
  SetFaults(leaving.endpoint(),
            {{"drain", true}, {"drain_refuses", false}, {"health", "ok"}});
  deployment.instance(0).Kill();
  const uint64_t late = ReceivedAfterNotice(leaving);
  callers.Stop();
  cr_expect(late == 0, "%zu received late", static_cast<size_t>(late));
}

}  // namespace
}  // namespace greengage
