#include "greengage/coordination/query_plan.h"

#include <criterion/criterion.h>

namespace greengage {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kVersion = 5;

// Two shards of ten keys with two replicas each, which all hold kVersion.
struct Fixture {
  explicit Fixture(uint64_t configuration_version = 1) {
    auto built = std::make_shared<Configuration>();
    built->version = configuration_version;
    ServiceConfiguration service;
    service.name = "s";
    service.key_space = 20;
    for (uint16_t shard = 0; shard < 2; ++shard) {
      ShardConfiguration entry;
      entry.name = "s/" + std::to_string(shard);
      entry.range = {shard * 10ULL, shard * 10ULL + 10};
      for (uint16_t replica = 0; replica < 2; ++replica) {
        const Endpoint endpoint{
            "127.0.0.1", static_cast<uint16_t>(10 * shard + replica + 1)};
        entry.replicas.push_back(endpoint);
        built->searchers[endpoint].endpoint = endpoint;
      }
      service.shards.push_back(entry);
    }
    built->services["s"] = service;
    configuration = built;
    context.searchers = &searchers;
    context.hedge_policy = &hedges;
    context.hedge_budget = &hedge_budget;
    context.retry_budget = &retries;
    context.configuration = [this] { return configuration; };
    searchers.Apply(now, *configuration);
    for (const auto& [endpoint, entry] : configuration->searchers) {
      ReportVersions(endpoint, kVersion, kVersion);
    }
    hedge_budget.OnSent(Rank::kUrgent, 1000);
  }

  void ReportVersions(const Endpoint& searcher,
                      uint64_t oldest,
                      uint64_t newest) {
    SearcherLoad load;
    load.oldest_version = oldest;
    load.newest_version = newest;
    searchers.OnLoad(now, searcher, load);
  }

  Query MakeQuery() const {
    Query query;
    query.request_id = "r";
    query.service = "s";
    query.deadline = now + seconds(1);
    return query;
  }

  TimePoint now = TimePoint() + seconds(100);
  ConfigurationPtr configuration;
  SearcherTracker searchers{SearcherStateOptions{}};
  HedgePolicy hedges{HedgeOptions{}};
  HedgeBudget hedge_budget{2};
  RetryBudget retries{10, 100};
  QueryContext context;
};

template <typename Action>
std::vector<Action> ActionsOf(const QueryActions& actions) {
  std::vector<Action> chosen;
  for (const QueryAction& action : actions) {
    if (const auto* match = std::get_if<Action>(&action)) {
      chosen.push_back(*match);
    }
  }
  return chosen;
}

SubAnswer AnswerTo(const SubRequest& request) {
  SubAnswer answer;
  answer.id = request.id;
  answer.request_id = request.request_id;
  answer.outcome = Outcome::kAnswered;
  answer.range = request.range;
  answer.index_version = request.index_version;
  answer.hits = {{request.range.begin, 1, ""}};
  return answer;
}

SubAnswer MakeFailure(const SubRequest& request,
                      Outcome outcome,
                      Refusal refusal) {
  SubAnswer answer;
  answer.id = request.id;
  answer.request_id = request.request_id;
  answer.outcome = outcome;
  answer.refusal = refusal;
  return answer;
}

// Starts `plan`, lets the second of its shards answer and the first reject the
// index version after all searchers have published the next one.
QueryActions StartAndCauseRerun(Fixture& f, QueryPlan& plan) {
  const auto sends = ActionsOf<SendAction>(plan.Start(f.now));
  plan.OnSubAnswer(f.now, AnswerTo(sends[1].request));
  for (const auto& [endpoint, entry] : f.configuration->searchers) {
    f.ReportVersions(endpoint, kVersion + 1, kVersion + 1);
  }
  return plan.OnSubAnswer(f.now, MakeFailure(sends[0].request, Outcome::kNotRun,
                                             Refusal::kVersionNotHeld));
}

}  // namespace

Test(QueryPlan, AnswersCompletelyFromOneVersion) {
  Fixture f;
  QueryPlan plan(f.MakeQuery(), f.configuration, &f.context, 1);
  const auto sends = ActionsOf<SendAction>(plan.Start(f.now));
  cr_assert_eq(sends.size(), 2U);
  cr_assert_eq(sends[0].request.index_version, kVersion);
  cr_assert(plan.OnSubAnswer(f.now, AnswerTo(sends[0].request)).empty());
  const auto answers = ActionsOf<AnswerAction>(
      plan.OnSubAnswer(f.now, AnswerTo(sends[1].request)));
  cr_assert(answers.at(0).answer.whole());
  cr_assert_eq(answers[0].answer.covered.size(), 1U);
  cr_assert_eq(answers[0].answer.hits.size(), 2U);
  cr_assert(plan.done());
}

Test(QueryPlan, HedgesAndCancelsTheSlowerAttempt) {
  Fixture f;
  QueryPlan plan(f.MakeQuery(), f.configuration, &f.context, 1);
  const auto sends = ActionsOf<SendAction>(plan.Start(f.now));
  plan.OnSubAnswer(f.now, AnswerTo(sends[0].request));
  f.now = plan.next_timer();
  const auto hedges = ActionsOf<SendAction>(plan.OnTimer(f.now));
  cr_assert_eq(hedges.size(), 1U);
  cr_assert(hedges[0].reason == SendReason::kHedge);
  cr_assert(hedges[0].request.searcher != sends[1].request.searcher);
  const QueryActions final_actions =
      plan.OnSubAnswer(f.now, AnswerTo(hedges[0].request));
  cr_assert_eq(ActionsOf<CancelAction>(final_actions).at(0).id,
               sends[1].request.id);
  cr_assert(ActionsOf<AnswerAction>(final_actions).at(0).answer.whole());
  plan.OnSubAnswer(f.now, AnswerTo(sends[1].request));
  cr_assert_eq(f.context.rejected_answers.load(), 1U);
}

Test(QueryPlan, ReportsCoverageAtTheDeadline) {
  Fixture f;
  QueryPlan plan(f.MakeQuery(), f.configuration, &f.context, 1);
  const auto sends = ActionsOf<SendAction>(plan.Start(f.now));
  plan.OnSubAnswer(f.now, AnswerTo(sends[0].request));
  const auto answers =
      ActionsOf<AnswerAction>(plan.OnTimer(f.now + seconds(1)));
  const Answer& answer = answers.at(0).answer;
  cr_assert(answer.outcome == Outcome::kAnswered);
  cr_assert_eq(answer.missing.size(), 1U);
  cr_assert(answer.missing[0].range == sends[1].request.range);
  cr_assert(answer.missing[0].refusal == Refusal::kDeadline);
}

Test(QueryPlan, RejectsMismatchedAnswerAndRetriesAnotherReplica) {
  Fixture f;
  QueryPlan plan(f.MakeQuery(), f.configuration, &f.context, 1);
  const auto sends = ActionsOf<SendAction>(plan.Start(f.now));
  SubAnswer mismatched = AnswerTo(sends[1].request);
  mismatched.id = sends[0].request.id;
  const auto retries =
      ActionsOf<SendAction>(plan.OnSubAnswer(f.now, mismatched));
  cr_assert_eq(retries.size(), 1U);
  cr_assert(retries[0].request.range == sends[0].request.range);
  cr_assert(retries[0].request.searcher != sends[0].request.searcher);
}

Test(QueryPlan, DoesNotRetryOverload) {
  Fixture f;
  QueryPlan plan(f.MakeQuery(), f.configuration, &f.context, 1);
  const auto sends = ActionsOf<SendAction>(plan.Start(f.now));
  SubAnswer rejected =
      MakeFailure(sends[0].request, Outcome::kNotRun, Refusal::kOverloaded);
  rejected.retry_after = milliseconds(70);
  cr_assert(plan.OnSubAnswer(f.now, rejected).empty());
  rejected.id = sends[1].request.id;
  const auto answers =
      ActionsOf<AnswerAction>(plan.OnSubAnswer(f.now, rejected));
  cr_assert(answers.at(0).answer.outcome == Outcome::kNotRun);
  cr_assert(answers[0].answer.refusal == Refusal::kOverloaded);
  cr_assert(answers[0].answer.retry_after == milliseconds(70));
}

Test(QueryPlan, RerunsAtAnotherVersion) {
  Fixture f;
  QueryPlan plan(f.MakeQuery(), f.configuration, &f.context, 1);
  const QueryActions actions = StartAndCauseRerun(f, plan);
  cr_assert_eq(ActionsOf<RerunAction>(actions).at(0).to_version, kVersion + 1);
  const auto resends = ActionsOf<SendAction>(actions);
  cr_assert_eq(resends.size(), 2U);
  plan.OnSubAnswer(f.now, AnswerTo(resends[0].request));
  const auto answers = ActionsOf<AnswerAction>(
      plan.OnSubAnswer(f.now, AnswerTo(resends[1].request)));
  cr_assert(answers.at(0).answer.whole());
  cr_assert_eq(answers[0].answer.index_version, kVersion + 1);
}

Test(QueryPlan, IsNotReportedAsNotRunIfItRanBeforeItsRerun) {
  Fixture f;
  QueryPlan plan(f.MakeQuery(), f.configuration, &f.context, 1);
  std::vector<SendAction> open =
      ActionsOf<SendAction>(StartAndCauseRerun(f, plan));
  std::vector<AnswerAction> answers;
  while (answers.empty() && !open.empty()) {
    const SubRequest request = open.back().request;
    open.pop_back();
    const QueryActions actions = plan.OnSubAnswer(
        f.now, MakeFailure(request, Outcome::kNotRun, Refusal::kShed));
    for (const SendAction& send : ActionsOf<SendAction>(actions)) {
      open.push_back(send);
    }
    answers = ActionsOf<AnswerAction>(actions);
  }
  cr_assert(answers.at(0).answer.outcome == Outcome::kUnknown);
}

Test(QueryPlan, SendsNonIdempotentQueryAtMostOnce) {
  Fixture f;
  Query query = f.MakeQuery();
  query.idempotent = false;
  query.key = 12;
  QueryPlan plan(query, f.configuration, &f.context, 1);
  const auto sends = ActionsOf<SendAction>(plan.Start(f.now));
  cr_assert_eq(sends.size(), 1U);
  cr_assert_eq(sends[0].request.shard, "s/1");
  cr_assert(plan.OnTimer(f.now + milliseconds(500)).empty());
  const auto answers = ActionsOf<AnswerAction>(
      plan.OnSubAnswer(f.now, MakeFailure(sends[0].request, Outcome::kUnknown,
                                          Refusal::kConnectionLost)));
  cr_assert(answers.at(0).answer.outcome == Outcome::kUnknown);
}

Test(QueryPlan, RetriesNonIdempotentQueryThatDidNotRun) {
  Fixture f;
  Query query = f.MakeQuery();
  query.idempotent = false;
  query.key = 12;
  QueryPlan plan(query, f.configuration, &f.context, 1);
  const auto sends = ActionsOf<SendAction>(plan.Start(f.now));
  const auto resends = ActionsOf<SendAction>(plan.OnSubAnswer(
      f.now,
      MakeFailure(sends[0].request, Outcome::kNotRun, Refusal::kDraining)));
  cr_assert_eq(resends.size(), 1U);
  cr_assert(resends[0].request.searcher != sends[0].request.searcher);
}

Test(QueryPlan, AbandonCancelsAllSubRequests) {
  Fixture f;
  QueryPlan plan(f.MakeQuery(), f.configuration, &f.context, 1);
  const auto sends = ActionsOf<SendAction>(plan.Start(f.now));
  cr_assert_eq(ActionsOf<CancelAction>(plan.Abandon(f.now)).size(), 2U);
  for (const SendAction& send : sends) {
    const auto view = f.searchers.View(f.now, send.request.searcher);
    cr_assert_eq(view->outstanding[0], 0U);
  }
  cr_assert(plan.done());
}

}  // namespace greengage
