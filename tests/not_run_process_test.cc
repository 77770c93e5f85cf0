// A request whose outcome is "not_run" was not executed by any searcher,
// whatever faults occur.
#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "tests/harness/callers.h"
#include "tests/harness/deployment.h"
#include "tests/harness/naive_query.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

// Outcomes by request id. Thread-safe.
class Outcomes {
 public:
  void Add(const std::string& id, const JsonReply& reply) {
    const std::lock_guard lock(mutex_);
    outcomes_[id] = reply.Text("outcome");
  }

  std::vector<std::string> IdsWithOutcome(const std::string& outcome) const {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> ids;
    for (const auto& [id, found] : outcomes_) {
      if (found == outcome) {
        ids.push_back(id);
      }
    }
    return ids;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::string> outcomes_;
};

std::string UniqueId(size_t thread, size_t index) {
  return MakeRequestId(std::to_string(thread) + "-" + std::to_string(index));
}

void SendQuery(const Deployment& deployment,
               size_t thread,
               size_t index,
               bool idempotent,
               Outcomes& outcomes) {
  const std::string id = UniqueId(thread, index);
  const JsonReply reply = deployment.Query(thread % deployment.instances(),
                                           {{"request_id", id},
                                            {"text", "tea"},
                                            {"deadline_ms", 300},
                                            {"idempotent", idempotent},
                                            {"key", index % kKeysPerShard}});
  outcomes.Add(id, reply);
}

// Returns the number of requests that were reported as not run but did run.
size_t CountFalseNotRun(const Deployment& deployment,
                        const Outcomes& outcomes) {
  size_t count = 0;
  for (const std::string& id : outcomes.IdsWithOutcome("not_run")) {
    count += deployment.Executions(id) > 0 ? 1 : 0;
  }
  return count;
}

void LogOutcomes(const Outcomes& outcomes) {
  cr_log_info("%zu answered, %zu not run, %zu unknown",
              outcomes.IdsWithOutcome("answered").size(),
              outcomes.IdsWithOutcome("not_run").size(),
              outcomes.IdsWithOutcome("unknown").size());
}

Test(NotRun, NaiveClientTakesALostAnswerForNotRun) {
  Deployment deployment({.shards = 1, .replicas = 1});
  SetFaults(deployment.searcher(0, 0).endpoint(), {{"lost_answers", 1}});
  const JsonReply reply =
      Call(deployment.searcher(0, 0).endpoint(), "POST", "/search",
           SearchBody(0, "naive", "tea", 20, false));
  cr_assert(reply.status == 0);  // The answer was lost after the run.
  cr_assert(deployment.Executions("naive") == 1);
}

void RunWithFaults(bool idempotent) {
  const Deployment deployment({.shards = 1, .replicas = 2});
  Outcomes outcomes;
  Callers callers(4, [&](size_t thread, size_t index) {
    SendQuery(deployment, thread, index, idempotent, outcomes);
  });
  const std::vector<boost::json::object> faults = {
      {{"shed", true}},   {{"shed", false}, {"lost_answers", 5}},
      {{"slow_ms", 400}}, {{"slow_ms", 0}, {"truncated_answers", 5}},
      {{"drain", true}},  {{"drain", false}, {"stall", true}},
      {{"stall", false}}};
  for (const boost::json::object& fault : faults) {
    deployment.SetSearcherFaults(fault);
    const size_t before = callers.completed();
    cr_expect(Eventually([&] { return callers.completed() > before + 20; }));
  }
  callers.Stop();
  LogOutcomes(outcomes);
  cr_expect(!outcomes.IdsWithOutcome("not_run").empty());
  cr_expect(CountFalseNotRun(deployment, outcomes) == 0,
            "%zu falsely reported as not run",
            CountFalseNotRun(deployment, outcomes));
}

Test(NotRun, IsTrueForIdempotentRequestsUnderFaults) {
  RunWithFaults(true);
}

Test(NotRun, IsTrueForNonIdempotentRequestsUnderFaults) {
  RunWithFaults(false);
}

// Two concurrent faults: an instance is killed while a searcher sheds load.
Test(NotRun, IsTrueIfAnInstanceCrashesDuringShedding) {
  Deployment deployment({.instances_per_data_centre = 3, .shards = 1});
  Outcomes outcomes;
  {
    Callers callers(4, [&](size_t thread, size_t index) {
      SendQuery(deployment, thread, index, true, outcomes);
    });
    cr_expect(Eventually([&] { return callers.completed() > 20; }));
    SetFaults(deployment.searcher(0, 0).endpoint(), {{"shed", true}});
    deployment.instance(0).Kill();
    const size_t before = callers.completed();
    cr_expect(Eventually([&] { return callers.completed() > before + 200; }));
  }
  LogOutcomes(outcomes);
  cr_expect(CountFalseNotRun(deployment, outcomes) == 0);
}

Test(NotRun, PlatformOutageRejectsClaimsWithARetryDelay) {
  const Deployment deployment({.shards = 1});
  SetFaults(deployment.platform(), {{"down", true}});
  const std::string id = MakeRequestId("outage");
  const JsonReply reply = deployment.Query(
      0,
      {{"request_id", id}, {"text", "tea"}, {"idempotent", false}, {"key", 1}});
  cr_expect(reply.Text("outcome") == "not_run", "%u %s", reply.status,
            boost::json::serialize(reply.body).c_str());
  cr_expect(reply.Number("retry_after_ms") > 0);
  cr_expect(deployment.Executions(id) == 0);
  const JsonReply search = deployment.Query(0, {{"text", "tea"}});
  cr_expect(search.Text("outcome") == "answered");
}

}  // namespace
}  // namespace greengage
