// Requests that are restricted to regions. Guards against bodies that leave
// these regions through other instances. The region of the instance that a
// caller reached need not be the caller's: once all instances of a region are
// lost, its callers get those of another one.
#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "greengage/transport/gather_forwarder.h"
#include "tests/harness/plan_fixture.h"
#include "tests/harness/router_fixture.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr char kKey[] = "the-callers-key";

using Names = std::vector<std::string>;

// Data centres and their regions. The instance and its searchers are "here".
const std::map<std::string, std::string> kRegions{{"here", "north"},
                                                  {"beside", "north"},
                                                  {"away", "south"}};

struct Homes {
  Names of_route;
  Names of_organisation;
};

RouteTablePtr TableOf(Route route, const Homes& homes) {
  route.host = "h";
  route.path_prefix = "/";
  route.allowed_regions = homes.of_route;
  Organisation organisation;
  organisation.name = "a";
  organisation.keys = {DigestOfKey(kKey)};
  organisation.allowed_regions = homes.of_organisation;
  RouteTable::Builder builder;
  builder.Add(std::move(route)).Add(std::move(organisation));
  return *builder.Build();
}

class StatusExchange : public HttpExchange {
 public:
  void Reply(HttpResponse response) override {
    status = response.status;
    not_run = response.not_run;
  }
  uint64_t connection() const override { return 1; }
  void Abort() override {}
  void OnClientDisconnected(std::function<void()>) override {}

  std::optional<unsigned> status;
  bool not_run = false;
};

// An instance whose peers refuse all requests.
class Instance {
 public:
  Instance(Route route, const Homes& homes)
      : router_(
            TableOf(std::move(route), homes),
            [](const std::string&, const RawRequest& request) {
              const CallDialect dialect;
              return HttpBytes(200,
                               dialect.request_id + ": " +
                                   request.Header(dialect.request_id) + "\r\n" +
                                   dialect.signature + ": s\r\n",
                               "0123456789abcdef");
            },
            [this](RequestRouter::Hooks& hooks) {
              hooks.forwards_gathers = [] { return true; };
              hooks.forward_to_gatherer = HookThatRecords(&gatherers);
              hooks.forward_to_peer = HookThatRecords(&peers);
            },
            kRegions) {}

  // Returns the status of the answer to a request.
  unsigned Call() {
    HttpRequest request = RouterFixture::MakeRequest();
    request.method = "POST";
    request.body = "body";
    request.headers.emplace_back("Authorization", std::string("Token ") + kKey);
    const auto exchange = std::make_shared<StatusExchange>();
    router_.Handle(exchange, std::move(request));
    answered_at_once = exchange->status.has_value();
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!exchange->status && std::chrono::steady_clock::now() < end) {
      router_.context().run_one_for(std::chrono::milliseconds(10));
    }
    not_run = exchange->not_run;
    return exchange->status.value_or(0);
  }

  RouterFixture& router() { return router_; }

  // Data centres whose instances may get the body.
  Names gatherers;
  Names peers;
  bool answered_at_once = false;
  bool not_run = false;

 private:
  static RequestRouter::ForwardHook HookThatRecords(Names* allowed) {
    return [allowed](const ForwardedQuery& query,
                     const std::shared_ptr<HttpExchange>& exchange,
                     const GatherForwarder::GatherHere& gather_here) {
      for (const auto& [data_centre, region] : kRegions) {
        if (query.may_get({"peer", data_centre, {"127.0.0.1", 1}, 1})) {
          allowed->push_back(data_centre);
        }
      }
      gather_here(exchange);
    };
  }

  RouterFixture router_;
};

const Homes kSouth[] = {{{"south"}, {}},
                        {{}, {"south"}},
                        {{"south"}, {"south"}},
                        {{"south", "north"}, {"south"}}};
const Homes kNorth[] = {{{"north"}, {}}, {{}, {"north"}}, {{"north"}, {}}};

}  // namespace

Test(HomeRegions, BodiesAreGatheredInTheHomeRegionsOnly) {
  for (const Homes& homes : kSouth) {
    Instance instance(GatherRoute(1, 1), homes);
    cr_expect_eq(instance.Call(), 503);  // All searchers are in the north.
    cr_expect(instance.not_run);
    cr_expect(instance.gatherers == Names{"away"});
  }
  for (const Homes& homes : kNorth) {
    Instance instance(GatherRoute(1, 1), homes);
    cr_expect_eq(instance.Call(), 200);
    cr_expect(instance.gatherers == (Names{"beside", "here"}));
  }
  Instance without(GatherRoute(1, 1), {});
  cr_expect_eq(without.Call(), 200);
  cr_expect(without.gatherers == Names{"here"});
}

Test(HomeRegions, BodiesAreRelayedToTheHomeRegionsOnly) {
  for (const Route& route :
       {SingleRoute(RequestKind::kIdempotent), GatherRoute(1, 1)}) {
    for (const Homes& homes : kSouth) {
      Instance instance(route, homes);
      instance.router().CutOff();
      (void)instance.Call();
      cr_expect(instance.peers == Names{"away"});
      cr_expect(instance.gatherers == (route.gather ? Names{"away"} : Names{}));
    }
    Instance without(route, {});
    without.router().CutOff();
    cr_expect_eq(without.Call(), 200);
    cr_expect(without.peers == (Names{"away", "beside", "here"}));
  }
}

// A request that nobody may have must not wait for searchers out of reach.
Test(HomeRegions, ACutOffInstanceRejectsWhatNobodyMayServe) {
  for (const Route& route :
       {SingleRoute(RequestKind::kIdempotent), GatherRoute(1, 1)}) {
    for (const Homes& homes : kNorth) {
      Instance instance(route, homes);
      instance.router().CutOff();
      cr_expect_eq(instance.Call(), 503);
      cr_expect(instance.answered_at_once && instance.not_run);
      instance.router().Reach("away");  // Not a home.
      cr_expect_eq(instance.Call(), 503);
      instance.router().Reach("here");
      cr_expect_eq(instance.Call(), 200);
      instance.router().Evacuate("here");
      cr_expect_eq(instance.Call(), 503);
      cr_expect(instance.answered_at_once && instance.not_run);
    }
  }
}

Test(HomeRegions, RequestsWithoutACommonHomeGoNowhere) {
  Instance instance(GatherRoute(1, 1), {{"north"}, {"south"}});
  cr_expect_eq(instance.Call(), 503);
  cr_expect(instance.answered_at_once && instance.not_run);
  cr_expect(instance.gatherers.empty() && instance.peers.empty());
}

}  // namespace greengage
