// A RequestRouter with searchers for tests.
#ifndef GREENGAGE_TESTS_HARNESS_ROUTER_FIXTURE_H_
#define GREENGAGE_TESTS_HARNESS_ROUTER_FIXTURE_H_

#include <boost/asio/io_context.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "greengage/transport/gather_forwarder.h"
#include "greengage/transport/request_router.h"
#include "greengage/transport/searcher_clients.h"
#include "tests/harness/raw_server.h"

namespace greengage {

// Has the services "s0" and "s1" with one searcher each.
class RouterFixture {
 public:
  // Returns the bytes of the answer to a request.
  using Answer =
      std::function<std::string(const std::string& service, const RawRequest&)>;

  // Uses a configuration with one route, for all requests to the host "h".
  RouterFixture(Route route, Answer answer)
      : RouterFixture(TableOf(std::move(route)), std::move(answer)) {}

  // `change_hooks` may replace hooks of the router. The instance and its
  // searchers are in the data centre "here"; `regions` has the region of each.
  RouterFixture(
      RouteTablePtr table,
      Answer answer,
      const std::function<void(RequestRouter::Hooks&)>& change_hooks = nullptr,
      std::map<std::string, std::string> regions = {})
      : answer_(std::move(answer)),
        servers_{Serve("s0"), Serve("s1")},
        plans_({[](const RoutedSearcher&) {},
                [](const RoutedSearcher&, std::string_view) {}},
               {},
               "here",
               std::move(regions)),
        table_(std::move(table)),
        clients_(std::make_shared<SearcherClients>(
            context_,
            [](const std::string&) { return 2; },
            nullptr)) {
    RequestRouter::Hooks hooks = MakeHooks();
    if (change_hooks) {
      change_hooks(hooks);
    }
    router_ = std::make_shared<RequestRouter>(
        context_, CallDialect(), RequestRouter::Limits{1}, &plans_, &suspects_,
        &reach_, clients_, &metrics_, std::move(hooks));
    std::vector<SearcherEntry> entries;
    for (size_t i = 0; i < servers_.size(); ++i) {
      SearcherEntry entry;
      entry.service = "s" + std::to_string(i);
      entry.id = entry.service + "/0";
      entry.endpoint = servers_[i]->endpoint();
      entry.data_centre = "here";
      entry.slots = 2;
      entries.push_back(std::move(entry));
    }
    plans_.searchers.Replace(std::chrono::steady_clock::now(), entries);
  }

  // Returns a configuration with `route` for all requests to the host "h".
  static RouteTablePtr TableOf(Route route) {
    route.host = "h";
    route.path_prefix = "/";
    RouteTable::Builder builder;
    builder.Add(std::move(route));
    return *builder.Build();
  }

  // Returns a request with the id "id".
  static HttpRequest MakeRequest() {
    return {.method = "GET",
            .path = "/",
            .target = "/",
            .headers = {{"Host", "h"}, {CallDialect().request_id, "id"}}};
  }

  // Handles a request. Its answer comes while the context runs.
  void Handle(const std::shared_ptr<HttpExchange>& exchange,
              HttpRequest request = MakeRequest()) {
    router_->Handle(std::move(request), exchange);
  }

  // The same for a request that a peer passed on.
  void HandleForwarded(const std::shared_ptr<HttpExchange>& exchange) {
    HttpRequest request = MakeRequest();
    AddForwardInfo({}, request.headers);
    HandleForwarded(exchange, std::move(request));
  }
  void HandleForwarded(const std::shared_ptr<HttpExchange>& exchange,
                       HttpRequest request) {
    router_->HandleForwarded(std::move(request), exchange);
  }

  // Replaces the configuration for the requests to come.
  void UseTable(RouteTablePtr table) { table_ = std::move(table); }

  // Makes the router believe that it reaches no searcher.
  void CutOff() {
    const TimePoint now = std::chrono::steady_clock::now();
    for (const char* const searcher : {"a", "b", "c"}) {
      reach_.OnUnreachable(now, searcher);
    }
    for (size_t trials = reach_.TakeTrial(now); trials > 0; --trials) {
      reach_.OnTrialResult(TrialResult::kUnreachable);
    }
  }

  // Makes the router believe that a searcher in `data_centre` has answered.
  void Reach(const std::string& data_centre) {
    reach_.OnReached(std::chrono::steady_clock::now(), data_centre);
  }

  // Keeps all requests away from the searchers of a data centre.
  void Evacuate(const std::string& data_centre) {
    plans_.placement.SetEvacuated(data_centre, true);
  }

  boost::asio::io_context& context() { return context_; }
  size_t in_flight() const { return router_->in_flight(); }
  size_t outstanding() const {
    return plans_.searchers.ForService("s0").front()->outstanding();
  }

  // Returns the number of requests at the searcher of a service.
  size_t arrivals(size_t service) const {
    return servers_[service]->requests();
  }

 private:
  std::shared_ptr<RawServer> Serve(const std::string& service) {
    return RawServer::Start(context_,
                            [this, service](const RawRequest& request) {
                              return RawReply{answer_(service, request)};
                            });
  }

  RequestRouter::Hooks MakeHooks() {
    RequestRouter::Hooks hooks;
    hooks.active_routes = [this] { return table_; };
    hooks.takes = [](TimePoint, Duration) { return true; };
    hooks.registry_age = [] { return Duration::zero(); };
    hooks.may_be_stale = [] { return false; };
    hooks.forwards_gathers = [] { return false; };
    hooks.on_crash = [](const CrashReport&, const CrashedRequest&) {};
    hooks.on_cleared = [](const std::vector<std::string>&) {};
    return hooks;
  }

  boost::asio::io_context context_;
  const Answer answer_;
  std::array<std::shared_ptr<RawServer>, 2> servers_;
  RequestPlanContext plans_;
  CrashSuspects suspects_{CrashSuspectOptions{}};
  SearcherReach reach_{SearcherReachOptions{}};
  RoutedMetrics metrics_;
  RouteTablePtr table_;
  std::shared_ptr<SearcherClients> clients_;
  std::shared_ptr<RequestRouter> router_;
};

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_ROUTER_FIXTURE_H_
