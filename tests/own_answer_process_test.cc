// Each caller gets only the answer to its own request, even if answers of
// searchers arrive late or belong to another request.
#include <atomic>
#include <csignal>
#include <string>

#include "tests/harness/callers.h"
#include "tests/harness/deployment.h"
#include "tests/harness/io_threads.h"
#include "tests/harness/naive_query.h"
#include "tests/harness/tcp_relay.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr size_t kShards = 3;
constexpr size_t kLimit = 20;

// Counts of the answers to queries with unique texts and ids. Thread-safe.
struct AnswerCounts {
  std::atomic<size_t> answered{0};
  std::atomic<size_t> whole{0};
  std::atomic<size_t> mismatched{0};
};

void SendUniqueQuery(const Deployment& deployment,
                     size_t thread,
                     size_t index,
                     AnswerCounts& counts) {
  const std::string unique_id =
      std::to_string(thread) + "-" + std::to_string(index) + "-own";
  const JsonReply reply = deployment.Query(thread % deployment.instances(),
                                           {{"request_id", unique_id},
                                            {"text", unique_id},
                                            {"limit", kLimit},
                                            {"deadline_ms", 1000}});
  if (reply.Text("outcome") != "answered") {
    return;
  }
  ++counts.answered;
  counts.whole += reply.body.at("whole").as_bool() ? 1 : 0;
  const bool mismatched = reply.Text("request_id") != unique_id ||
                          !IsTruthful(reply, unique_id, kLimit);
  counts.mismatched += mismatched ? 1 : 0;
}

Test(OwnAnswer, NaiveClientAcceptsAnotherRequestsAnswer) {
  Deployment deployment({.shards = kShards, .replicas = 1});
  NaiveQuery(deployment, kShards, "first", "scones", kLimit);
  deployment.SetSearcherFaults({{"crossed_answers", 1}});
  const NaiveAnswer answer =
      NaiveQuery(deployment, kShards, "second", "cakes", kLimit);
  cr_assert(answer.answered == kShards);
  cr_assert(SameHits(
      answer.hits,
      ExpectedHits(1, {{0, kShards * kKeysPerShard}}, "scones", kLimit)));
}

Test(OwnAnswer, CrossedAnswersReachNoCaller) {
  const Deployment deployment({.shards = kShards, .replicas = 2});
  AnswerCounts counts;
  Callers callers(4, [&](size_t thread, size_t index) {
    SendUniqueQuery(deployment, thread, index, counts);
  });
  for (int round = 0; round < 10; ++round) {
    deployment.SetSearcherFaults({{"crossed_answers", 3}});
    const size_t before = callers.completed();
    cr_expect(Eventually([&] { return callers.completed() > before + 20; }));
  }
  callers.Stop();
  cr_log_info("%zu answered, %zu whole", counts.answered.load(),
              counts.whole.load());
  cr_expect(counts.mismatched == 0, "%zu mismatched", counts.mismatched.load());
  cr_expect(counts.whole > 0);
}

// Two concurrent faults: answers arrive late, after hedges and deadlines, and
// are truncated.
Test(OwnAnswer, LateAndTruncatedAnswersReachNoCaller) {
  const Deployment deployment(
      {.shards = kShards,
       .replicas = 2,
       .searcher_arguments = {"--straggler-percent", "20", "--straggler-ms",
                              "300"}});
  AnswerCounts counts;
  Callers callers(4, [&](size_t thread, size_t index) {
    SendUniqueQuery(deployment, thread, index, counts);
  });
  for (int round = 0; round < 5; ++round) {
    deployment.SetSearcherFaults(
        {{"truncated_answers", 2}, {"crossed_answers", 1}});
    const size_t before = callers.completed();
    cr_expect(Eventually([&] { return callers.completed() > before + 10; }));
  }
  callers.Stop();
  cr_log_info("%zu answered, %zu whole", counts.answered.load(),
              counts.whole.load());
  cr_expect(counts.mismatched == 0, "%zu mismatched", counts.mismatched.load());
  cr_expect(counts.whole > 0);
}

// A searcher that is paused and resumed sends answers to requests that have
// already ended.
Test(OwnAnswer, AnswersOfAPausedSearcherReachNoCaller) {
  Deployment deployment({.shards = kShards, .replicas = 2});
  AnswerCounts counts;
  Callers callers(4, [&](size_t thread, size_t index) {
    SendUniqueQuery(deployment, thread, index, counts);
  });
  for (int round = 0; round < 3; ++round) {
    deployment.searcher(0, 0).Signal(SIGSTOP);
    const size_t before = callers.completed();
    cr_expect(Eventually([&] { return callers.completed() > before + 10; }));
    deployment.searcher(0, 0).Signal(SIGCONT);
    const size_t after = callers.completed();
    cr_expect(Eventually([&] { return callers.completed() > after + 20; }));
  }
  callers.Stop();
  cr_expect(counts.mismatched == 0, "%zu mismatched", counts.mismatched.load());
  cr_expect(counts.whole > 0);
}

// Returns whether the event log of an instance has a replaced connection.
bool HasReplacedConnection(Deployment& deployment) {
  for (size_t i = 0; i < deployment.instances(); ++i) {
    const JsonReply reply =
        Call(deployment.instance(i).endpoint(), "GET", "/v1/events");
    const std::string events = boost::json::serialize(reply.body);
    if (events.find("connection_replaced") != std::string::npos) {
      return true;
    }
  }
  return false;
}

// Permanently stalled connections to a searcher are replaced, so that queries
// are answered completely again.
Test(OwnAnswer, StalledConnectionsAreReplaced) {
  IoThreads threads(1);
  std::vector<std::shared_ptr<TcpRelay>> relays;
  DeploymentShape shape{.shards = 1, .replicas = 1};
  shape.searcher_proxy = [&](const Endpoint& searcher) {
    relays.push_back(TcpRelay::Start(threads.context(), searcher));
    return relays.back()->endpoint();
  };
  Deployment deployment(shape);
  const auto is_answered_whole = [&] {
    const JsonReply reply = deployment.Query(
        0, {{"text", "tea"}, {"limit", kLimit}, {"deadline_ms", 2000}});
    return reply.Text("outcome") == "answered" &&
           reply.body.at("whole").as_bool();
  };
  cr_assert(is_answered_whole());
  relays.front()->SilenceConnections();
  cr_expect(Eventually(is_answered_whole));
  cr_expect(Eventually([&] { return HasReplacedConnection(deployment); }));
}

}  // namespace
}  // namespace greengage
