// Every answer reflects a single snapshot of the index.
#include <set>
#include <string>

#include "standins/searcher/records.h"
#include "tests/harness/deployment.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

Test(Snapshot, WholeAnswerIsWhatTheSearchersHold) {
  const Deployment deployment({.shards = 2, .replicas = 2});
  const JsonReply reply =
      deployment.Query(0, {{"text", "scones"}, {"limit", 20}});
  cr_assert(reply.status == 200, "%u %s", reply.status,
            boost::json::serialize(reply.body).c_str());
  cr_log_info("%s", boost::json::serialize(reply.body).c_str());
}

}  // namespace
}  // namespace greengage
