#include "greengage/protocol/request_trace.h"

#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

namespace greengage {
namespace {

std::string Line(const std::string& members) {
  return R"({"time_ms":1000,"level":"info","process":"one",)" + members + "}";
}

std::string Ended(const std::string& id,
                  const std::string& end,
                  int took,
                  const std::string& cause,
                  const std::string& trouble = "lost") {
  return Line(R"("event":"request_ended","request_id":")" + id +
              R"(","end":")" + end + R"(","status":200,"took_ms":)" +
              std::to_string(took) + R"(,"target_ms":250.0,"cause":")" + cause +
              R"(","missing_parts":1,"extra_attempts":2,"trouble":")" +
              trouble + "\"");
}

std::string Attempt(const std::string& id, const std::string& end) {
  return Line(R"("event":"attempt","request_id":")" + id +
              R"(","searcher":"s1","sent_ms":5.0,"ended_ms":90.5,"end":")" +
              end + "\"");
}

RequestCause CauseOf(const std::vector<std::string>& lines) {
  TraceCollector collector;
  for (const std::string& line : lines) {
    collector.Add(line);
  }
  return collector.Explain("id")->cause;
}

}  // namespace

Test(RequestTrace, DerivesCauseFromMostFrequentAttemptOutcome) {
  for (const auto& [trouble, cause] :
       {std::pair{"lost", RequestCause::kConnectionLost},
        {"not_sent", RequestCause::kConnectionLost},
        {"withheld", RequestCause::kNoSearcher},
        {"misdirected", RequestCause::kConnectionLost},
        {"turned_away", RequestCause::kRejected},
        {"failed", RequestCause::kSearcherFailed},
        {"open", RequestCause::kSearcherSlow},
        {"abandoned", RequestCause::kSearcherSlow},
        {"shards_not_answering", RequestCause::kShardsNotAnswering},
        {"no_searcher", RequestCause::kNoSearcher}}) {
    cr_assert(CauseOf({Ended("id", "unknown", 90, "a cause", trouble)}) ==
              cause);
  }
}

Test(RequestTrace, OnlyALateCompleteAnswerHasACause) {
  cr_assert(CauseOf({Ended("id", "merged", 100, "")}) == RequestCause::kNone);
  cr_assert(CauseOf({Ended("id", "merged", 300, "", "none")}) ==
            RequestCause::kSearcherSlow);
}

Test(RequestTrace, DerivesCauseOfRejectedRequest) {
  for (const auto& [kind, cause] :
       {std::pair{"not_found", RequestCause::kNoRoute},
        {"unavailable", RequestCause::kNoConfiguration},
        {"shutting_down", RequestCause::kInstanceStopping},
        {"overloaded", RequestCause::kInstanceFull},
        {"missing_key", RequestCause::kInvalidRequest}}) {
    cr_assert(CauseOf({Line(R"("event":"request_refused","request_id":"id",)"
                            R"("detail":"d","cause":")" +
                            std::string(kind) + "\"")}) == cause);
  }
}

Test(RequestTrace, ContextContainsPrecedingEventsOfTheInstance) {
  TraceCollector collector;
  collector.Add(Line(R"("event":"store_lost","feed":"searchers")"));
  collector.Add(R"({"time_ms":900,"process":"two","event":"store_lost"})");
  collector.Add(Ended("id", "unknown", 90, "attempts were lost"));
  const RequestTrace trace = *collector.Explain("id");
  cr_assert(trace.context.size() == 1);
  cr_assert(trace.context[0].event == DecisionEvent::kStoreFailing);
}

Test(RequestTrace, GroupsFailuresByCauseAndSkipsUnreadableLines) {
  TraceCollector collector;
  collector.Add("listening 127.0.0.1:80");
  collector.Add("{\"event\":\"of_another_program\"}");
  collector.Add(Ended("a", "merged", 100, ""));
  for (const char* const id : {"b", "c"}) {
    collector.Add(Attempt(id, "lost"));
    collector.Add(Ended(id, "unknown", 90, "attempts were lost"));
  }
  collector.Add(
      Ended("d", "caller_left", 90, "the caller closed its connection"));
  cr_assert(collector.unreadable() == 2 && collector.lines() == 8);
  const auto groups = collector.Failures();
  cr_assert(groups.size() == 2);
  cr_assert(groups[0].cause == RequestCause::kConnectionLost);
  cr_assert(groups[0].request_ids.size() == 2);
  cr_assert(groups[1].cause == RequestCause::kCallerLeft);
  cr_assert(!collector.Explain("e"));
}

Test(RequestTrace, ConvertsRequestAndAttemptsToEvents) {
  TraceCollector collector;
  collector.Add(Attempt("id", "lost"));
  collector.Add(Ended("id", "unknown", 90, "attempts were lost"));
  const std::vector<Event> events = TraceEvents(*collector.Explain("id"));
  cr_assert(events.size() == 4);
  cr_assert(events.front().process == "one");
  cr_assert(events[1].process == "s1");
}

}  // namespace greengage
