// A non-idempotent request runs at most once, also if callers repeat it at
// other instances and answers are lost.
#include <atomic>
#include <csignal>
#include <future>
#include <string>
#include <vector>

#include "tests/harness/deployment.h"
#include "tests/harness/naive_query.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr size_t kRounds = 12;

boost::json::object Booking(const std::string& id, uint64_t deadline_ms) {
  return {{"request_id", id},
          {"text", "tea for two"},
          {"idempotent", false},
          {"key", 17},
          {"deadline_ms", deadline_ms}};
}

JsonReply Book(const Deployment& deployment,
               size_t instance,
               const std::string& id,
               uint64_t deadline_ms = 1000) {
  return deployment.Query(instance, Booking(id, deadline_ms));
}

// Sends the same booking to all instances concurrently.
std::vector<JsonReply> BookEverywhere(const Deployment& deployment,
                                      const std::string& id,
                                      uint64_t deadline_ms = 1000) {
  std::vector<std::future<JsonReply>> calls;
  calls.reserve(deployment.instances());
  for (size_t i = 0; i < deployment.instances(); ++i) {
    calls.push_back(std::async(std::launch::async, [&, i] {
      return Book(deployment, i, id, deadline_ms);
    }));
  }
  std::vector<JsonReply> replies;
  replies.reserve(calls.size());
  for (auto& call : calls) {
    replies.push_back(call.get());
  }
  return replies;
}

// Repeats a booking up to three times at each instance until it is answered.
// Returns how often it ran.
uint64_t RepeatAndCount(const Deployment& deployment, const std::string& id) {
  for (size_t attempt = 0; attempt < 3; ++attempt) {
    for (size_t i = 0; i < deployment.instances(); ++i) {
      if (Book(deployment, i, id).Text("outcome") == "answered") {
        return deployment.Executions(id);
      }
    }
  }
  return deployment.Executions(id);
}

Test(AtMostOnce, NaiveRepeatRunsTwice) {
  Deployment deployment({.shards = 1, .replicas = 2});
  const std::string body = SearchBody(0, "naive", "tea", 20, false);
  SetFaults(deployment.searcher(0, 0).endpoint(), {{"lost_answers", 1}});
  for (size_t replica = 0; replica < 2; ++replica) {
    Call(deployment.searcher(0, replica).endpoint(), "POST", "/search", body);
  }
  cr_assert(deployment.Executions("naive") == 2);
}

Test(AtMostOnce, ConcurrentRepeatsAtAllInstances) {
  const Deployment deployment({.data_centres = 2, .shards = 1});
  for (size_t round = 0; round < kRounds; ++round) {
    const std::string id = MakeRequestId("race-" + std::to_string(round));
    BookEverywhere(deployment, id);
    cr_expect(RepeatAndCount(deployment, id) == 1);
    const JsonReply repeat = Book(deployment, 0, id);
    cr_expect(repeat.Text("outcome") == "answered", "%s",
              boost::json::serialize(repeat.body).c_str());
    cr_expect(IsTruthful(repeat, "tea for two", 20));
  }
}

Test(AtMostOnce, LostAnswersOfThePlatform) {
  const Deployment deployment({.shards = 1});
  for (size_t round = 0; round < kRounds; ++round) {
    SetFaults(deployment.platform(), {{"lose_answers", round % 4},
                                      {"lose_requests", round / 4},
                                      {"lose_kind", "claims"}});
    const std::string id = MakeRequestId("lost-" + std::to_string(round));
    BookEverywhere(deployment, id);
    SetFaults(deployment.platform(),
              {{"lose_answers", 0}, {"lose_requests", 0}});
    cr_expect(RepeatAndCount(deployment, id) <= 1);
  }
}

Test(AtMostOnce, LostAnswersOfTheSearcher) {
  const Deployment deployment({.shards = 1});
  for (size_t round = 0; round < kRounds; ++round) {
    deployment.SetSearcherFaults({{"lost_answers", 1}});
    const std::string id = MakeRequestId("answer-" + std::to_string(round));
    BookEverywhere(deployment, id);
    deployment.SetSearcherFaults({{"lost_answers", 0}});
    cr_expect(RepeatAndCount(deployment, id) <= 1);
  }
}

// Two concurrent faults: the instance is killed at a different moment in each
// round while answers of the platform are lost. The caller repeats the booking
// at another instance.
Test(AtMostOnce, InstanceCrashesAndThePlatformLosesAnswers) {
  Deployment deployment(
      {.shards = 1, .searcher_arguments = {"--service-us", "8000"}});
  for (size_t round = 0; round < kRounds; ++round) {
    SetFaults(deployment.platform(),
              {{"lose_answers", round % 3}, {"slow_answer_ms", round % 4}});
    const std::string id = MakeRequestId("crash-" + std::to_string(round));
    auto first =
        std::async(std::launch::async, [&] { return Book(deployment, 0, id); });
    std::this_thread::sleep_for(std::chrono::milliseconds(2 * round));
    deployment.instance(0).Kill();
    first.get();
    SetFaults(deployment.platform(),
              {{"lose_answers", 0}, {"slow_answer_ms", 0}});
    Book(deployment, 1, id);
    deployment.RestartInstance(0);
    cr_assert(Eventually([&] { return deployment.Ready(0); }));
    cr_expect(RepeatAndCount(deployment, id) <= 1);
  }
}

// The instance that holds the claim is paused at a different moment in each
// round. It resumes after the caller has repeated the booking elsewhere.
Test(AtMostOnce, HolderPausesWhileTheCallerRepeats) {
  Deployment deployment(
      {.shards = 1, .searcher_arguments = {"--service-us", "8000"}});
  for (size_t round = 0; round < 6; ++round) {
    const std::string id = MakeRequestId("pause-" + std::to_string(round));
    auto first = std::async(std::launch::async,
                            [&] { return Book(deployment, 0, id, 400); });
    std::this_thread::sleep_for(std::chrono::milliseconds(2 * round));
    deployment.instance(0).Signal(SIGSTOP);
    Book(deployment, 1, id, 400);
    Book(deployment, 1, id, 400);
    deployment.instance(0).Signal(SIGCONT);
    first.get();
    cr_expect(RepeatAndCount(deployment, id) <= 1);
  }
}

Test(AtMostOnce, PlatformOutageBetweenTwoRepeats) {
  const Deployment deployment({.shards = 1});
  const std::string id = MakeRequestId("outage");
  cr_assert(Book(deployment, 0, id).Text("outcome") == "answered");
  SetFaults(deployment.platform(), {{"down", true}});
  const JsonReply during = Book(deployment, 1, id);
  cr_expect(during.Text("outcome") != "answered");
  SetFaults(deployment.platform(), {{"down", false}});
  // The outage may begin before the first answer is recorded. Until it is
  // recorded, repeats are answered as already claimed.
  cr_expect(Eventually([&] {
    const JsonReply after = Book(deployment, 1, id);
    cr_expect(after.Text("outcome") != "not_run", "%s",
              boost::json::serialize(after.body).c_str());
    return after.Text("outcome") == "answered";
  }));
  cr_expect(deployment.Executions(id) == 1);
}

// A booking that the searchers shed does not keep its claim, so that a repeat
// can run.
Test(AtMostOnce, ShedBookingCanBeRepeated) {
  const Deployment deployment({.shards = 1});
  const std::string id = MakeRequestId("shed");
  deployment.SetSearcherFaults({{"shed", true}});
  const JsonReply shed = Book(deployment, 0, id);
  cr_expect(shed.Text("outcome") == "not_run", "%s",
            boost::json::serialize(shed.body).c_str());
  deployment.SetSearcherFaults({{"shed", false}});
  const JsonReply repeat = Book(deployment, 1, id);
  cr_expect(repeat.Text("outcome") == "answered", "%s",
            boost::json::serialize(repeat.body).c_str());
  cr_expect(deployment.Executions(id) == 1);
}

Test(AtMostOnce, OldAndMalformedIdsDoNotRun) {
  const Deployment deployment({.shards = 1});
  for (const char* id : {"1000-old", "99999999999999-far", "no-time"}) {
    const JsonReply reply = Book(deployment, 0, id);
    cr_expect(reply.Text("outcome") != "answered");
    cr_expect(deployment.Executions(id) == 0);
  }
}

}  // namespace
}  // namespace greengage
