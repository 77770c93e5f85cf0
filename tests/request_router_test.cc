#include "greengage/transport/request_router.h"

#include <chrono>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "greengage/transport/searcher_clients.h"
#include "tests/harness/plan_fixture.h"
#include "tests/harness/raw_server.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

// Throws when it gets the answer of a searcher.
class ThrowingExchange : public HttpExchange {
 public:
  void Reply(HttpResponse response) override {
    if (response.status == 200 && throws) {
      throw std::runtime_error("failure of a test");
    }
    statuses.push_back(response.status);
  }
  uint64_t connection() const override { return 1; }
  void Abort() override {}
  void OnClientDisconnected(std::function<void()>) override {}

  bool throws = true;
  std::vector<unsigned> statuses;
};

// A router with one service of one searcher, which answers every request.
class Router {
 public:
  Router()
      : server_(RawServer::Start(
            context_,
            [dialect = CallDialect()](const RawRequest& request) {
              return RawReply{HttpBytes(200,
                                        dialect.request_id + ": " +
                                            request.Header(dialect.request_id) +
                                            "\r\n" + dialect.signature +
                                            ": s\r\n",
                                        "ok")};
            })),
        plans_({[](const RoutedSearcher&) {},
                [](const RoutedSearcher&, std::string_view) {}},
               {},
               "here"),
        clients_(std::make_shared<SearcherClients>(
            context_,
            [](const std::string&) { return 2; },
            nullptr)),
        router_(std::make_shared<RequestRouter>(context_,
                                                CallDialect(),
                                                RequestRouter::Limits{1},
                                                &plans_,
                                                &suspects_,
                                                &reach_,
                                                clients_,
                                                &metrics_,
                                                MakeHooks())) {
    SearcherEntry entry;
    entry.id = "s0/0";
    entry.service = "s0";
    entry.endpoint = server_->endpoint();
    entry.slots = 2;
    plans_.searchers.Replace(std::chrono::steady_clock::now(), {entry});
    Route route = SingleRoute(RequestKind::kIdempotent);
    route.host = "h";
    route.path_prefix = "/";
    RouteTable::Builder builder;
    builder.Add(std::move(route));
    table_ = *builder.Build();
  }

  void Handle(const std::shared_ptr<ThrowingExchange>& exchange) {
    HttpRequest request;
    request.method = "GET";
    request.target = "/";
    request.path = "/";
    request.headers = {{"Host", "h"}, {CallDialect().request_id, "id"}};
    router_->Handle(std::move(request), exchange);
    while (exchange->statuses.empty() &&
           context_.run_one_for(std::chrono::seconds(5)) > 0) {
    }
  }

  // Runs what is left of the last request.
  void Finish() { context_.run_for(std::chrono::milliseconds(100)); }

  size_t in_flight() const { return router_->in_flight(); }
  size_t outstanding() const {
    return plans_.searchers.ForService("s0").front()->outstanding();
  }

 private:
  RequestRouter::Hooks MakeHooks() {
    RequestRouter::Hooks hooks;
    hooks.active_routes = [this] { return table_; };
    hooks.takes = [](TimePoint, Duration) { return true; };
    hooks.registry_age = [] { return Duration::zero(); };
    hooks.may_be_stale = [] { return false; };
    hooks.forwards_gathers = [] { return false; };
    return hooks;
  }

  boost::asio::io_context context_;
  std::shared_ptr<RawServer> server_;
  RequestPlanContext plans_;
  CrashSuspects suspects_{CrashSuspectOptions{}};
  SearcherReach reach_{SearcherReachOptions{}};
  RoutedMetrics metrics_;
  RouteTablePtr table_;
  std::shared_ptr<SearcherClients> clients_;
  std::shared_ptr<RequestRouter> router_;
};

}  // namespace

// The limit of requests in flight is one, so that one which stays is seen.
Test(RequestRouter, AnswersARequestWhoseHandlingFailedAndForgetsIt) {
  Router router;
  const auto failed = std::make_shared<ThrowingExchange>();
  router.Handle(failed);
  cr_assert(failed->statuses == std::vector<unsigned>{500});
  router.Finish();
  cr_assert(router.in_flight() == 0 && router.outstanding() == 0);
  const auto served = std::make_shared<ThrowingExchange>();
  served->throws = false;
  router.Handle(served);
  cr_assert(served->statuses == std::vector<unsigned>{200});
}

}  // namespace greengage
