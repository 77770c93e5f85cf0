#include "greengage/protocol/routed_call_codec.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

namespace greengage {
namespace {

const CallDialect kDialect;

AttemptOutcome ParseAnswer(unsigned status, const HeaderList& headers) {
  return ParseSearcherAnswer(kDialect, status, headers, "body");
}

}  // namespace

Test(RoutedCallCodec, SuccessRequiresSignatureAndUnencodedBody) {
  cr_assert(ParseAnswer(200, {{"greengage-signature", "s"}}).end ==
            AttemptEnd::kAnswered);
  cr_assert(ParseAnswer(200, {}).end == AttemptEnd::kLost);
  cr_assert(ParseAnswer(200, {{"Greengage-Signature", "s"},
                              {"Content-Encoding", "gzip"}})
                .end == AttemptEnd::kLost);
}

Test(RoutedCallCodec, OnlyNotRunHeaderAndStatus421MeanNotExecuted) {
  cr_assert(ParseAnswer(503, {{"Greengage-Not-Run", "1"}}).end ==
            AttemptEnd::kRejected);
  cr_assert(ParseAnswer(421, {}).end == AttemptEnd::kMisdirected);
  cr_assert(ParseAnswer(503, {}).end == AttemptEnd::kFailed);
  cr_assert(ParseAnswer(500, {{"Greengage-Signature", "s"}}).end ==
            AttemptEnd::kFailed);
}

Test(RoutedCallCodec, ParsesSearcherLoad) {
  const AttemptOutcome outcome =
      ParseAnswer(200, {{"Greengage-Load", "3, 1,8"}});
  cr_assert(outcome.load->running == 3 && outcome.load->waiting == 1 &&
            outcome.load->slots == 8);
  cr_assert(!ParseAnswer(200, {{"Greengage-Load", "3,1"}}).load);
  cr_assert(!ParseAnswer(200, {{"Greengage-Load", "a,b,c"}}).load);
}

Test(RoutedCallCodec, ParsesTheRequestLimitOfASearcher) {
  cr_assert(
      ParseAnswer(200, {{"Greengage-Request-Limit", "23.8"}}).request_limit ==
      23.8);
  for (const char* const malformed : {"", "many", "nan", "inf", "-1", "2;3"}) {
    cr_assert(!ParseAnswer(200, {{"Greengage-Request-Limit", malformed}})
                   .request_limit);
  }
  cr_assert(!ParseAnswer(200, {}).request_limit);
}

Test(RoutedCallCodec, ParsesThatASearcherLeaves) {
  const HeaderList leaving{{"greengage-leaving", " 1"}};
  for (const unsigned status : {200U, 500U, 503U}) {
    cr_assert(ParseAnswer(status, leaving).leaving);
  }
  cr_assert(!ParseAnswer(421, leaving).leaving);
  for (const char* const other : {"0", "", "10", "yes"}) {
    cr_assert(!ParseAnswer(200, {{"Greengage-Leaving", other}}).leaving);
  }
  cr_assert(!ParseAnswer(200, {}).leaving);
}

Test(RoutedCallCodec, ParsesForHowLongASearcherWantsNoRequests) {
  const auto closed_for = [](unsigned status, const std::string& seconds) {
    return ParseAnswer(status,
                       {{"Greengage-Not-Run", "1"}, {"Retry-After", seconds}})
        .closed_for;
  };
  cr_assert(closed_for(503, "2") == std::chrono::seconds(2));
  cr_assert(closed_for(503, " 0.25 ") == std::chrono::milliseconds(250));
  cr_assert(closed_for(503, "1e300") == std::chrono::hours(1));
  cr_assert(closed_for(503, "inf") == std::chrono::hours(1));
  for (const char* const other : {"", "0", "-1", "-inf", "nan", "soon", "2 s",
                                  "2,3", "Sat, 05 Dec 2026 04:00:00 GMT"}) {
    cr_assert(!closed_for(503, other), "%s", other);
  }
  cr_assert(!closed_for(200, "2") && !closed_for(500, "2"));
  cr_assert(!closed_for(421, "2") && !ParseAnswer(503, {}).closed_for);
  cr_assert(ParseAnswer(503, {{"Retry-After", "2"}}).closed_for ==
            std::chrono::seconds(2));
}

// Guards against a list of signatures that is too long for one header.
Test(RoutedCallCodec, SpreadsLongSignaturesOverSeveralHeaders) {
  constexpr size_t kParts = 40;
  constexpr size_t kSignatureBytes = 4000;
  std::vector<SearcherAnswer> parts(kParts);
  for (size_t i = 0; i < kParts; ++i) {
    parts[i].signature =
        std::string(kSignatureBytes, static_cast<char>('a' + i % 26));
  }
  size_t signatures = 0;
  for (const auto& [name, value] : PartHeaders(kDialect, parts, 0)) {
    cr_assert(value.size() <= size_t{8} * 1024 + kSignatureBytes);
    signatures += name == kDialect.part_signatures
                      ? 1 + static_cast<size_t>(
                                std::count(value.begin(), value.end(), ','))
                      : 0;
  }
  cr_assert(signatures == kParts);
}

Test(RoutedCallCodec, AnswerWithDifferentIdIsMismatched) {
  const HeaderList headers{{"greengage-request-id", "one"}};
  cr_assert(!IsMismatchedAnswer(kDialect, headers, "one"));
  cr_assert(IsMismatchedAnswer(kDialect, headers, "two"));
  cr_assert(!IsMismatchedAnswer(kDialect, {}, "two"));
}

Test(RoutedCallCodec, StripsHopByHopHeaders) {
  const HeaderList kept =
      ForwardedHeaders(kDialect, {{"Host", "a"},
                                  {"Connection", "keep-alive, X-Hop"},
                                  {"X-Hop", "1"},
                                  {"Transfer-Encoding", "chunked"},
                                  {"Content-Length", "3"},
                                  {"Greengage-Time-Left-Ms", "5"},
                                  {"Greengage-Expected-Searcher", "fake"},
                                  {"X-Other", "1"}});
  cr_assert(kept == HeaderList({{"Host", "a"}, {"X-Other", "1"}}));
}

Test(RoutedCallCodec, ParsesCallerRequest) {
  const auto request =
      ParseCallerRequest(kDialect, {{"host", "a.example"},
                                    {"greengage-request-id", "one"},
                                    {"greengage-time-left-ms", "250"}});
  cr_assert(request->id == "one" && request->host == "a.example");
  cr_assert(request->time_left == std::chrono::milliseconds(250));
  cr_assert(ParseCallerRequest(kDialect, {{"host", "a"}}).last_reason().kind ==
            FailureKind::kMissingKey);
  cr_assert(ParseCallerRequest(kDialect, {{"host", "a"},
                                          {"greengage-request-id", "one"},
                                          {"greengage-time-left-ms", "-1"}})
                .last_reason()
                .kind == FailureKind::kInvalidSyntax);
}

Test(RoutedCallCodec, ListsPartsOfMergedAnswer) {
  std::vector<SearcherAnswer> parts(2);
  parts[0].signature = "a";
  parts[1].signature = "b";
  cr_assert(PartHeaders(kDialect, parts, 3) ==
            HeaderList({{"Greengage-Part-Signatures", "a, b"},
                        {"Greengage-Missing-Parts", "3"}}));
}

// Such a header would let a caller send a request that no id belongs to.
Test(RoutedCallCodec, ConnectionHeaderRemovesNoHeaderOfTheDialect) {
  const HeaderList kept =
      ForwardedHeaders(kDialect, {{"Host", "h"},
                                  {"Greengage-Request-Id", "id"},
                                  {"Authorization", "a"},
                                  {"Content-Type", "text/plain"},
                                  {"X-Hop", "x"},
                                  {"Connection",
                                   "greengage-request-id, host, X-Hop, "
                                   "authorization, content-type"}});
  cr_assert(FindHeader(kept, "Host") && FindHeader(kept, "Authorization") &&
            FindHeader(kept, "Content-Type") &&
            FindHeader(kept, "Greengage-Request-Id"));
  cr_assert(!FindHeader(kept, "X-Hop") && !FindHeader(kept, "Connection"));
}

Test(RoutedCallCodec, ConnectionHeaderDoesNotRemoveTheSignature) {
  const AttemptOutcome outcome = ParseAnswer(
      200,
      {{"Greengage-Signature", "s"}, {"Connection", "Greengage-Signature"}});
  cr_assert(FindHeader(outcome.answer.headers, "Greengage-Signature") == "s");
}

Test(RoutedCallCodec, RequestWithTwoIdsIsRejected) {
  const auto parsed =
      ParseCallerRequest(kDialect, {{"Host", "h"},
                                    {"Greengage-Request-Id", "first"},
                                    {"Greengage-Request-Id", "second"}});
  cr_assert(!parsed &&
            parsed.last_reason().kind == FailureKind::kInvalidSyntax);
}

}  // namespace greengage
