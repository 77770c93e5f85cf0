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
#include "tests/harness/router_fixture.h"

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

std::string SignedSuccess(const std::string&, const RawRequest& request) {
  const CallDialect dialect;
  return HttpBytes(200,
                   dialect.request_id + ": " +
                       request.Header(dialect.request_id) + "\r\n" +
                       dialect.signature + ": s\r\n",
                   "ok");
}

// A router whose searcher answers every request.
class Router {
 public:
  Router() : fixture_(SingleRoute(RequestKind::kIdempotent), SignedSuccess) {}

  void Handle(const std::shared_ptr<ThrowingExchange>& exchange) {
    fixture_.Handle(exchange);
    while (exchange->statuses.empty() &&
           fixture_.context().run_one_for(std::chrono::seconds(5)) > 0) {
    }
  }

  // Runs what is left of the last request.
  void Finish() { fixture_.context().run_for(std::chrono::milliseconds(100)); }

  size_t in_flight() const { return fixture_.in_flight(); }
  size_t outstanding() const { return fixture_.outstanding(); }

 private:
  RouterFixture fixture_;
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
