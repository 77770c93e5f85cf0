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
  TraceCollector book;
  for (const std::string& line : lines) {
    book.Add(line);
  }
  return book.Explain("id")->cause;
}

}  // namespace

Test(RequestTrace, TellsTheCauseFromWhatMostAttemptsMet) {
  for (const auto& [trouble, cause] :
       {std::pair{"lost", RequestCause::kConnectionLost},
        {"not_sent", RequestCause::kConnectionLost},
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

Test(RequestTrace, AWholeAnswerInTimeHasNoCauseAndALateOneHas) {
  cr_assert(CauseOf({Ended("id", "merged", 100, "")}) == RequestCause::kNone);
  cr_assert(CauseOf({Ended("id", "merged", 300, "", "none")}) ==
            RequestCause::kSearcherSlow);
}

Test(RequestTrace, TellsWhyARequestWasRefused) {
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

Test(RequestTrace, ShowsWhatTheInstanceLearnedBefore) {
  TraceCollector book;
  book.Add(Line(R"("event":"store_lost","feed":"searchers")"));
  book.Add(R"({"time_ms":900,"process":"two","event":"store_lost"})");
  book.Add(Ended("id", "unknown", 90, "attempts were lost"));
  const RequestTrace story = *book.Explain("id");
  cr_assert(story.context.size() == 1);
  cr_assert(story.context[0].event == DecisionEvent::kStoreFailing);
}

Test(RequestTrace, CountsCausesAndPassesOverForeignLines) {
  TraceCollector book;
  book.Add("listening 127.0.0.1:80");
  book.Add("{\"event\":\"of_another_program\"}");
  book.Add(Ended("a", "merged", 100, ""));
  for (const char* const id : {"b", "c"}) {
    book.Add(Attempt(id, "lost"));
    book.Add(Ended(id, "unknown", 90, "attempts were lost"));
  }
  book.Add(Ended("d", "caller_left", 90, "the caller closed its connection"));
  cr_assert(book.unreadable() == 2 && book.lines() == 8);
  const auto groups = book.Failures();
  cr_assert(groups.size() == 2);
  cr_assert(groups[0].cause == RequestCause::kConnectionLost);
  cr_assert(groups[0].request_ids.size() == 2);
  cr_assert(groups[1].cause == RequestCause::kCallerLeft);
  cr_assert(!book.Explain("e"));
}

Test(RequestTrace, DrawsTheRequestAndItsAttempts) {
  TraceCollector book;
  book.Add(Attempt("id", "lost"));
  book.Add(Ended("id", "unknown", 90, "attempts were lost"));
  const std::vector<Event> events = TraceEvents(*book.Explain("id"));
  cr_assert(events.size() == 4);
  cr_assert(events.front().process == "one");
  cr_assert(events[1].process == "s1");
}

}  // namespace greengage
