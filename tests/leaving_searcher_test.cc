// Answers of searchers that leave, which an instance passes on for another one.
// Guards against an instance that has passed on a searcher's word that it
// leaves, and sends requests to that searcher later on.
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "greengage/protocol/leaving_codec.h"
#include "greengage/transport/gather_forwarder.h"
#include "tests/harness/plan_fixture.h"
#include "tests/harness/raw_server.h"
#include "tests/harness/router_fixture.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds kTimeout{5};

SearcherEntry MakeEntry(const std::string& id) {
  SearcherEntry entry;
  entry.id = id;
  entry.service = "s0";
  entry.endpoint = {"10.0.0.1", 80};
  entry.started = milliseconds(1700000000000);
  return entry;
}

class RecordingExchange : public HttpExchange {
 public:
  void Reply(HttpResponse response) override { reply = std::move(response); }
  uint64_t connection() const override { return 1; }
  void Abort() override {}
  void OnClientDisconnected(std::function<void()>) override {}

  std::optional<HttpResponse> reply;
};

// Runs the context until the exchange has a reply.
HttpResponse AwaitReply(boost::asio::io_context& context,
                        const RecordingExchange& exchange) {
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (!exchange.reply && std::chrono::steady_clock::now() < end) {
    context.run_one_for(milliseconds(100));
  }
  cr_assert(exchange.reply.has_value());
  return *exchange.reply;
}

// Returns the answer of a searcher that leaves, and that names `other` as
// instances do.
std::string LeavingAnswer(const RawRequest& request,
                          const SearcherEntry& other) {
  const CallDialect dialect;
  HeaderList forged;
  SetLeavingSearchers({other}, forged);
  return HttpBytes(
      200,
      dialect.request_id + ": " + request.Header(dialect.request_id) + "\r\n" +
          dialect.signature + ": s\r\n" + dialect.leaving + ": 1\r\n" +
          forged.front().first + ": " + forged.front().second + "\r\n",
      "0123456789abcdef");
}

}  // namespace

Test(LeavingSearcher, IsIdentifiedInHeaders) {
  HeaderList headers{{"Greengage-Leaving-Searcher", "1 10.0.0.1:80 s old"},
                     {"Accept", "*/*"}};
  SetLeavingSearchers({MakeEntry("a"), MakeEntry("two words"), MakeEntry("b")},
                      headers);
  const std::vector<SearcherEntry> leaving = TakeLeavingSearchers(headers);
  cr_assert(leaving.size() == 2 && headers.size() == 1);
  cr_assert(leaving[0].SameProcess(MakeEntry("a")) && leaving[0].draining);
  cr_assert(leaving[1].SameProcess(MakeEntry("b")));
  for (const char* const text :
       {"", "1", "1 10.0.0.1:80", "1 10.0.0.1:80 s", "1 10.0.0.1:80 s ",
        "x 10.0.0.1:80 s a", "1 10.0.0.1 s a", "1 10.0.0.1:80 s a b"}) {
    headers = {{"Greengage-Leaving-Searcher", text}};
    cr_expect(TakeLeavingSearchers(headers).empty(), "'%s'", text);
    cr_expect(headers.empty());
  }
}

Test(LeavingSearcher, IsNamedToThePeerThatPassedTheRequestOn) {
  for (const Route& route :
       {SingleRoute(RequestKind::kIdempotent), GatherRoute(2, 1)}) {
    RouterFixture router(
        route, [](const std::string& service, const RawRequest& request) {
          return service == "s0"
                     ? LeavingAnswer(request, MakeEntry("s1/0"))
                     : HttpBytes(200,
                                 CallDialect().request_id + ": id\r\n" +
                                     CallDialect().signature + ": s\r\n",
                                 "0123456789abcdef");
        });
    const auto exchange = std::make_shared<RecordingExchange>();
    router.HandleForwarded(exchange);
    HttpResponse answer = AwaitReply(router.context(), *exchange);
    cr_expect_eq(answer.status, 200);
    const auto leaving = TakeLeavingSearchers(answer.headers);
    cr_assert_eq(leaving.size(), 1);
    cr_expect_eq(leaving.front().id, "s0/0");
  }
}

Test(LeavingSearcher, IsHeardByTheInstanceThatPassesTheAnswerOn) {
  boost::asio::io_context context;
  HeaderList headers;
  SetLeavingSearchers({MakeEntry("a")}, headers);
  const auto peer = RawServer::Start(context, [&](const RawRequest&) {
    return RawReply{HttpBytes(
        200, headers.front().first + ": " + headers.front().second + "\r\n",
        "ok")};
  });
  GathererChooser chooser("self");
  chooser.SetGatherers({{"peer", "here", peer->endpoint(), 1}});
  std::minstd_rand random;
  std::vector<SearcherEntry> leaving;
  const auto forwarder = std::make_shared<GatherForwarder>(
      context, 2, nullptr, &chooser, &random,
      GatherForwarder::Hooks{
          [](const auto&, const auto&, uint64_t, unsigned, Duration) {},
          [](const auto&, const auto&, const auto&) {},
          [&](const SearcherEntry& searcher) { leaving.push_back(searcher); }});
  ForwardedQuery query;
  query.request_id = "id";
  query.call.target = "/";
  query.call.deadline = std::chrono::steady_clock::now() + kTimeout;
  query.expected_by = query.call.deadline;
  const auto exchange = std::make_shared<RecordingExchange>();
  forwarder->Forward(std::move(query), exchange, [](const auto&) {});
  HttpResponse answer = AwaitReply(context, *exchange);
  cr_assert_eq(leaving.size(), 1);
  cr_expect(leaving.front().SameProcess(MakeEntry("a")));
  cr_expect(TakeLeavingSearchers(answer.headers).empty());
}

}  // namespace greengage
