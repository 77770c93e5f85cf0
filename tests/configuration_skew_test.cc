// Requests that pass between two instances with different versions of the
// configuration. Guards against a request that is admitted by one version and
// run by another, which together allow what neither of them does.
#include <chrono>
#include <functional>
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

using std::chrono::milliseconds;

constexpr char kKey[] = "the-callers-key";
constexpr double kLimited = 5;  // Requests per second.

// The ways by which a request goes to another instance.
enum class Hop { kGatherer, kPeer };

// A configuration with one route. The services are "s0" and "s1".
struct Version {
  uint64_t number = 1;
  std::string service = "s0";
  bool requires_keys = true;
  // The organisation that has the key; empty if none has.
  std::string organisation = "a";
  double quota = 0;
  std::vector<std::string> regions;  // Of the organisation.
  std::string path = "/";
};

RouteTablePtr TableOf(Hop hop, const Version& version) {
  Route route = SingleRoute(RequestKind::kIdempotent);
  route.services = {{version.service, 1}};
  if (hop == Hop::kGatherer) {
    route = GatherRoute(1, 1);
    route.gather->shards = {version.service};
  }
  route.host = "h";
  route.path_prefix = version.path;
  RouteTable::Builder builder;
  builder.Version(version.number).Add(std::move(route));
  if (version.requires_keys) {
    builder.RequireKeys();
  }
  if (!version.organisation.empty()) {
    Organisation organisation;
    organisation.name = version.organisation;
    organisation.keys = {DigestOfKey(kKey)};
    organisation.quota = {version.quota, kLimited};
    organisation.allowed_regions = version.regions;
    builder.Add(std::move(organisation));
  }
  return *builder.Build();
}

class RecordingExchange : public HttpExchange {
 public:
  explicit RecordingExchange(
      std::function<void(HttpResponse)> on_reply = nullptr)
      : on_reply_(std::move(on_reply)) {}

  void Reply(HttpResponse response) override {
    status = response.status;
    if (on_reply_) {
      on_reply_(std::move(response));
    }
  }
  uint64_t connection() const override { return 1; }
  void Abort() override {}
  void OnClientDisconnected(std::function<void()>) override {}

  std::optional<unsigned> status;

 private:
  const std::function<void(HttpResponse)> on_reply_;
};

// An instance that got a request from a caller, and one that gets it from
// there. A request that the peer refuses is handled by the first instance.
class TwoInstances {
 public:
  TwoInstances(Hop hop, const Version& first, const Version& peer)
      : hop_(hop),
        first_(TableOf(hop, first),
               AnswerOf(&arrivals),
               [this](RequestRouter::Hooks& hooks) {
                 SetQuotaHooks(&charged, hooks);
                 hooks.forwards_gathers = [] { return true; };
                 hooks.forward_to_gatherer = hooks.forward_to_peer =
                     [this](const ForwardedQuery& query,
                            const std::shared_ptr<HttpExchange>& exchange,
                            const GatherForwarder::GatherHere& gather_here) {
                       PassToPeer(query, exchange, gather_here);
                     };
               }),
        peer_(TableOf(hop, peer),
              AnswerOf(&arrivals_from_peer),
              [this](RequestRouter::Hooks& hooks) {
                SetQuotaHooks(&charged_by_peer, hooks);
              }) {
    if (hop == Hop::kPeer) {
      first_.CutOff();
    }
  }

  // Returns the status of the answer to a request with the key.
  unsigned Call() {
    HttpRequest request = RouterFixture::MakeRequest();
    request.headers.emplace_back("Authorization", std::string("Token ") + kKey);
    return Await([&](const auto& exchange) {
      first_.Handle(exchange, std::move(request));
    });
  }

  // Returns the status of the answer to a request that another instance passed
  // to the peer with the header `info`.
  unsigned CallPeer(const std::string& info) {
    HttpRequest request = RouterFixture::MakeRequest();
    request.headers.emplace_back("Greengage-Configuration", info);
    return Await([&](const auto& exchange) {
      peer_.HandleForwarded(exchange, std::move(request));
    });
  }

  // Changes the configuration of the first instance while the peer has the
  // request.
  void ChangeDuringHop(const Version& version) { change_ = version; }

  // Each arrival at a searcher: the service, and the caller's organisation.
  std::vector<std::string> arrivals;
  std::vector<std::string> arrivals_from_peer;
  // The organisations whose quota was charged, less those that got it back.
  std::vector<std::string> charged;
  std::vector<std::string> charged_by_peer;
  bool key_seen = false;  // By a searcher.
  bool admits = true;

 private:
  RouterFixture::Answer AnswerOf(std::vector<std::string>* list) {
    return [this, list](const std::string& service, const RawRequest& request) {
      const CallDialect dialect;
      list->push_back(service + " " + request.Header(dialect.organisation));
      key_seen = key_seen || request.head.find(kKey) != std::string::npos;
      return HttpBytes(200,
                       dialect.request_id + ": " +
                           request.Header(dialect.request_id) + "\r\n" +
                           dialect.signature + ": s\r\n",
                       "0123456789abcdef");
    };
  }

  void SetQuotaHooks(std::vector<std::string>* list,
                     RequestRouter::Hooks& hooks) {
    hooks.admit = [this, list](const Organisation& organisation) {
      QuotaVerdict verdict;
      verdict.admitted = list == &charged || admits;
      if (verdict.admitted) {
        list->push_back(organisation.name);
      }
      return verdict;
    };
    hooks.on_not_run = [list](const std::string& organisation) {
      std::erase(*list, organisation);
    };
  }

  // Does what GatherForwarder does with one peer.
  void PassToPeer(const ForwardedQuery& query,
                  const std::shared_ptr<HttpExchange>& exchange,
                  const GatherForwarder::GatherHere& gather_here) {
    HttpRequest request{.method = query.call.method,
                        .path = "/",
                        .target = query.call.target,
                        .headers = query.call.headers,
                        .body = query.call.body};
    AddForwardInfo(query.info, request.headers);
    if (change_) {
      first_.UseTable(TableOf(hop_, *change_));
    }
    peer_.HandleForwarded(
        std::make_shared<RecordingExchange>(
            [exchange, gather_here](HttpResponse response) {
              if (response.status == kForwardRefusedStatus) {
                gather_here(exchange);
                return;
              }
              response.not_run =
                  FindHeader(response.headers, kNotRunHeader).has_value();
              exchange->Reply(std::move(response));
            }),
        std::move(request));
  }

  unsigned Await(
      const std::function<void(const std::shared_ptr<HttpExchange>&)>& start) {
    const auto exchange = std::make_shared<RecordingExchange>();
    start(exchange);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!exchange->status && std::chrono::steady_clock::now() < end) {
      first_.context().run_one_for(milliseconds(1));
      peer_.context().run_one_for(milliseconds(1));
    }
    return exchange->status.value_or(0);
  }

  const Hop hop_;
  std::optional<Version> change_;
  RouterFixture first_;
  RouterFixture peer_;
};

using Names = std::vector<std::string>;

void ForEachHop(const std::function<void(Hop)>& check) {
  check(Hop::kGatherer);
  check(Hop::kPeer);
}

}  // namespace

// The first instance has not learned that the key was withdrawn. The peer has,
// and uses the services of a version without the key.
Test(ConfigurationSkew, AWithdrawnKeyOpensNoServiceOfALaterVersion) {
  ForEachHop([](Hop hop) {
    TwoInstances both(hop, {},
                      {.number = 3, .service = "s1", .organisation = ""});
    cr_expect_eq(both.Call(), 401);
    cr_expect(both.arrivals.empty() && both.arrivals_from_peer.empty());
    // The key is gone, but the organisation is not.
    TwoInstances kept(hop, {},
                      {.number = 3, .service = "s1", .organisation = "b"});
    kept.ChangeDuringHop({.number = 4});
    cr_expect_eq(kept.Call(), 200);
    cr_expect(kept.arrivals_from_peer == Names{"s1 b"});
  });
}

Test(ConfigurationSkew, ALaterVersionOfThePeerDecidesEverything) {
  ForEachHop([](Hop hop) {
    TwoInstances same(hop, {}, {.number = 2, .service = "s1"});
    cr_expect_eq(same.Call(), 200);
    cr_expect(same.arrivals_from_peer == Names{"s1 a"});
    TwoInstances without_route(hop, {}, {.number = 2, .path = "/other/"});
    cr_expect_eq(without_route.Call(), 404);
    // The searchers of the fixture are in no region.
    TwoInstances with_home(hop, {}, {.number = 2, .regions = {"north"}});
    cr_expect_eq(with_home.Call(), 503);
    TwoInstances without_keys(
        hop, {}, {.number = 2, .requires_keys = false, .organisation = ""});
    cr_expect_eq(without_keys.Call(), 200);
    cr_expect(without_keys.arrivals_from_peer == Names{"s0 "});
    TwoInstances with_keys(hop, {.requires_keys = false, .organisation = ""},
                           {.number = 2});
    cr_expect_eq(with_keys.Call(), 200);
    cr_expect(with_keys.arrivals_from_peer == Names{"s0 a"});
    for (const TwoInstances* both :
         {&same, &without_route, &with_home, &without_keys, &with_keys}) {
      cr_expect(both->arrivals.empty() && !both->key_seen);
    }
  });
}

Test(ConfigurationSkew, APeerWithAnEarlierVersionRunsNothing) {
  ForEachHop([](Hop hop) {
    TwoInstances both(hop, {.number = 2, .service = "s1", .organisation = "b"},
                      {});
    cr_expect_eq(both.Call(), 200);
    cr_expect(both.arrivals == Names{"s1 b"});
    cr_expect(both.arrivals_from_peer.empty());
  });
}

// A request that no peer took is run by the version that admitted it, also if
// that has been replaced meanwhile.
Test(ConfigurationSkew,
     AVersionThatChangesBetweenTriesDoesNotMixWithTheOldOne) {
  ForEachHop([](Hop hop) {
    TwoInstances both(hop, {.number = 2}, {});
    both.ChangeDuringHop({.number = 3, .service = "s1", .organisation = ""});
    cr_expect_eq(both.Call(), 200);
    cr_expect(both.arrivals == Names{"s0 a"});
    cr_expect_eq(both.Call(), 401);
    cr_expect(both.arrivals == Names{"s0 a"});
  });
}

Test(ConfigurationSkew, ChargesTheOrganisationThatRunsTheRequest) {
  ForEachHop([](Hop hop) {
    TwoInstances same(hop, {.quota = kLimited},
                      {.number = 2, .quota = 2 * kLimited});
    cr_expect_eq(same.Call(), 200);
    cr_expect(same.charged == Names{"a"} && same.charged_by_peer.empty());
    TwoInstances moved(hop, {.quota = kLimited},
                       {.number = 2, .organisation = "b", .quota = kLimited});
    cr_expect_eq(moved.Call(), 200);
    cr_expect(moved.charged_by_peer == Names{"b"});
    TwoInstances newly_limited(hop, {}, {.number = 2, .quota = kLimited});
    cr_expect_eq(newly_limited.Call(), 200);
    cr_expect(newly_limited.charged.empty());
    cr_expect(newly_limited.charged_by_peer == Names{"a"});
    // Both get it back if the peer rejects the request.
    TwoInstances used_up(hop, {.quota = kLimited},
                         {.number = 2, .organisation = "b", .quota = kLimited});
    used_up.admits = false;
    cr_expect_eq(used_up.Call(), 429);
    cr_expect(used_up.charged.empty() && used_up.charged_by_peer.empty());
    TwoInstances withdrawn(hop, {.quota = kLimited},
                           {.number = 2, .organisation = ""});
    cr_expect_eq(withdrawn.Call(), 401);
    cr_expect(withdrawn.charged.empty());
  });
}

// Instances of earlier releases name the organisation and no key.
Test(ConfigurationSkew, TakesAnOrganisationOfAnEarlierReleaseByTheSameVersion) {
  for (const char* const info :
       {"1;a", "2;b", "2;a,b", "3;a", "x;a", "2;a;b"}) {
    TwoInstances refused(Hop::kPeer, {}, {.number = 2});
    cr_expect_eq(refused.CallPeer(info), kForwardRefusedStatus, "%s", info);
    cr_expect(refused.arrivals_from_peer.empty(), "%s", info);
  }
  TwoInstances taken(Hop::kPeer, {}, {.number = 2, .quota = kLimited});
  cr_expect_eq(taken.CallPeer("2;a"), 200);
  cr_expect(taken.arrivals_from_peer == Names{"s0 a"});
  cr_expect(taken.charged_by_peer.empty());
}

}  // namespace greengage
