// Measures the cost of a sub-request from an owner to a searcher and back.
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <utility>

#include "greengage/protocol/searcher_codec.h"
#include "greengage/transport/http_client.h"
#include "greengage/transport/owner_service.h"
#include "tools/bench/experiment.h"
#include "tools/bench/path_searchers.h"
#include "tools/bench/thread_usage.h"

namespace greengage::bench {

namespace {

constexpr size_t kFanOuts[] = {10, 100, 340};
constexpr size_t kSubRequests = 34000;
constexpr size_t kInFlight = 680;
constexpr size_t kHeldQueries = 20;
constexpr size_t kIdleConnections = 200;
constexpr uint64_t kFirstId = uint64_t{1} << 32;
constexpr std::chrono::seconds kTimeout{60};
constexpr std::chrono::milliseconds kSettleTime{300};

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

SubRequest MakeSubRequest(const Endpoint& searcher, uint64_t id) {
  SubRequest request;
  request.id = id;
  request.request_id = "1764814254000-" + std::to_string(id);
  request.service = "table-finder";
  request.shard = "table-finder/3";
  request.searcher = searcher;
  request.range = {0, 100};
  request.index_version = 1;
  request.configuration_version = 1;
  request.text = "scones";
  request.deadline = Now() + kTimeout;
  return request;
}

double Microseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double, std::micro>(time).count();
}

// Sends one sub-request and reports whether it was answered.
using Sender = std::function<void(SubRequest, std::function<void(bool)>)>;

// Runs queries that each fan out to all `searchers`, with a bounded number in
// flight, until kSubRequests sub-requests have been sent.
class Load {
 public:
  Load(Sender send, std::vector<Endpoint> searchers)
      : send_(std::move(send)),
        searchers_(std::move(searchers)),
        queries_(kSubRequests / searchers_.size()) {}

  void Run() {
    for (size_t i = 0; i * searchers_.size() < kInFlight; ++i) {
      StartQuery();
    }
    done_.get_future().wait();
  }

  size_t sub_requests() const { return queries_ * searchers_.size(); }
  size_t unanswered() const { return unanswered_; }

 private:
  void StartQuery() {
    if (started_++ >= queries_) {
      return;
    }
    const auto left = std::make_shared<std::atomic<size_t>>(searchers_.size());
    for (const Endpoint& searcher : searchers_) {
      send_(MakeSubRequest(searcher, ++last_id_), [this, left](bool answered) {
        unanswered_ += answered ? 0 : 1;
        if (--*left == 0) {
          EndQuery();
        }
      });
    }
  }

  void EndQuery() {
    if (++ended_ == queries_) {
      done_.set_value();
      return;
    }
    StartQuery();
  }

  const Sender send_;
  const std::vector<Endpoint> searchers_;
  const size_t queries_;
  std::promise<void> done_;
  std::atomic<size_t> started_ = 0;
  std::atomic<size_t> ended_ = 0;
  std::atomic<size_t> unanswered_ = 0;
  std::atomic<uint64_t> last_id_ = 0;
};

// The naive baseline: one pooled HTTP call per sub-request, without a queue.
Sender PlainSender(boost::asio::io_context& context,
                   const std::vector<Endpoint>& searchers) {
  std::unordered_map<Endpoint, std::shared_ptr<HttpClient>> clients;
  for (const Endpoint& searcher : searchers) {
    clients[searcher] = HttpClient::Create(context, searcher, {});
  }
  return [clients](const SubRequest& request, std::function<void(bool)> done) {
    HttpCall call;
    call.method = "POST";
    call.target = "/search";
    call.body = SerializeSearch(request, Now());
    call.deadline = request.deadline;
    clients.at(request.searcher)
        ->Start(std::move(call), [request, done = std::move(done)](
                                     const HttpCallResult& result) {
          const bool answered =
              result.response &&
              ParseSearchAnswer(request, result.response->status,
                                result.response->body)
                      .outcome == Outcome::kAnswered;
          done(answered);
        });
  };
}

Sender OwnerSender(const std::shared_ptr<OwnerService>& owner) {
  return [owner](SubRequest request, std::function<void(bool)> done) {
    owner->Submit(std::move(request),
                  [done = std::move(done)](const SubAnswer& answer) {
                    done(answer.outcome == Outcome::kAnswered);
                  });
  };
}

std::shared_ptr<OwnerService> MakeOwner(MeasuredThread& thread) {
  OwnerService::Hooks hooks;
  hooks.is_draining = [](const Endpoint& /*searcher*/) { return false; };
  return std::make_shared<OwnerService>(thread.context(), kFirstId,
                                        std::move(hooks));
}

// Costs per sub-request, times in microseconds, and the number of unanswered
// sub-requests.
struct PathCost {
  double cpu = 0;
  double system = 0;
  double allocations = 0;
  double unanswered = 0;
};

PathCost Measure(MeasuredThread& thread,
                 Sender send,
                 std::vector<Endpoint> searchers) {
  const Sender warm_up_send = send;
  Load(warm_up_send, searchers).Run();
  Load load(std::move(send), std::move(searchers));
  const ThreadUsage before = thread.Usage();
  load.Run();
  const ThreadUsage used = thread.Usage() - before;
  const auto count = static_cast<double>(load.sub_requests());
  return {Microseconds(used.cpu) / count, Microseconds(used.system) / count,
          static_cast<double>(used.allocations) / count,
          static_cast<double>(load.unanswered())};
}

void AddCosts(const std::string& shape,
              const PathCost& plain,
              const PathCost& owner,
              Measurements* out) {
  constexpr double kMicroseconds = 1e6;
  constexpr double kPercent = 100;
  const auto add = [&](const char* name, const char* unit, double baseline,
                       double policy) {
    out->push_back({shape, name, unit, baseline, policy, std::nullopt});
  };
  add("CPU per sub-request", "us", plain.cpu, owner.cpu);
  add("kernel's share of it", "%", kPercent * plain.system / plain.cpu,
      kPercent * owner.system / owner.cpu);
  add("allocations per sub-request", "", plain.allocations, owner.allocations);
  add("sub-requests per core and second", "1/s", kMicroseconds / plain.cpu,
      kMicroseconds / owner.cpu);
  add("unanswered", "", plain.unanswered, owner.unanswered);
}

// Returns the mean CPU time of `step` in microseconds over many repetitions on
// this thread.
double CostOf(const std::function<void()>& step) {
  constexpr int kRepetitions = 5000;
  const ThreadUsage before = ReadThreadUsage();
  for (int i = 0; i < kRepetitions; ++i) {
    step();
  }
  const ThreadUsage used = ReadThreadUsage() - before;
  return Microseconds(used.cpu) / kRepetitions;
}

void ParseHttp(const std::string& text) {
  namespace http = boost::beast::http;
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  boost::system::error_code error;
  parser.put(boost::asio::buffer(text), error);
}

void AddSteps(const Endpoint& searcher, Measurements* out) {
  const SubRequest request = MakeSubRequest(searcher, 1);
  const auto response = CallAndWait(searcher,
                                    {.method = "POST",
                                     .target = "/search",
                                     .body = SerializeSearch(request, Now())},
                                    std::chrono::seconds(5));
  if (!response) {
    return;
  }
  const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " +
                           std::to_string(response->body.size()) + "\r\n\r\n" +
                           response->body;
  const auto add = [&](const char* name, double cost) {
    out->push_back({"one step", name, "us", cost, cost, std::nullopt});
  };
  add("request to JSON",
      CostOf([&] { SerializeSearch(request, request.deadline); }));
  add("answer from JSON", CostOf([&] {
        ParseSearchAnswer(request, response->status, response->body);
      }));
  add("parsing HTTP", CostOf([&] { ParseHttp(text); }));
}

void AddIdleMemory(const Endpoint& searcher, Measurements* out) {
  MeasuredThread thread;
  const int64_t before = thread.Usage().live_bytes;
  const auto client = HttpClient::Create(
      thread.context(), searcher,
      {.connections = kIdleConnections, .connecting = kIdleConnections});
  std::atomic<size_t> left = kIdleConnections;
  std::promise<void> done;
  for (size_t i = 0; i < kIdleConnections; ++i) {
    client->Start({.target = "/health", .deadline = Now() + kTimeout},
                  [&](const HttpCallResult&) {
                    if (--left == 0) {
                      done.set_value();
                    }
                  });
  }
  done.get_future().wait();
  const auto connections = static_cast<double>(client->open_connections());
  const auto bytes = static_cast<double>(thread.Usage().live_bytes - before);
  const double each = bytes / connections;
  out->push_back(
      {"idle", "memory per connection", "bytes", each, each, std::nullopt});
  client->Close();
  std::this_thread::sleep_for(kSettleTime);
}

void AddHeldMemory(PathSearchers& searchers, Measurements* out) {
  MeasuredThread thread;
  searchers.Hold();
  const auto owner = MakeOwner(thread);
  const int64_t before = thread.Usage().live_bytes;
  boost::asio::post(thread.context(), [&] {
    for (size_t i = 0; i < kHeldQueries; ++i) {
      for (const Endpoint& searcher : searchers.endpoints()) {
        owner->Submit(MakeSubRequest(searcher, i), [](const SubAnswer&) {});
      }
    }
  });
  std::this_thread::sleep_for(kSettleTime);
  const auto bytes = static_cast<double>(thread.Usage().live_bytes - before);
  const double each = bytes / kHeldQueries;
  out->push_back({"fan-out " + std::to_string(searchers.endpoints().size()),
                  "memory per query in flight", "bytes", each, each,
                  std::nullopt});
}

Measurements Run(uint64_t /*seed*/) {
  Measurements out;
  PathSearchers searchers(*std::rbegin(kFanOuts));
  std::vector<PathCost> plain_costs;
  std::vector<PathCost> owner_costs;
  for (const size_t fan_out : kFanOuts) {
    const std::vector<Endpoint> chosen(
        searchers.endpoints().begin(),
        searchers.endpoints().begin() + static_cast<ptrdiff_t>(fan_out));
    MeasuredThread plain;
    plain_costs.push_back(
        Measure(plain, PlainSender(plain.context(), chosen), chosen));
    MeasuredThread owner;
    owner_costs.push_back(
        Measure(owner, OwnerSender(MakeOwner(owner)), chosen));
    AddCosts("fan-out " + std::to_string(fan_out), plain_costs.back(),
             owner_costs.back(), &out);
  }
  const double width = static_cast<double>(*std::rbegin(kFanOuts)) -
                       static_cast<double>(*std::begin(kFanOuts));
  out.push_back({"fan-out 10 to 340", "slope of CPU per sub-request",
                 "us per shard",
                 (plain_costs.back().cpu - plain_costs.front().cpu) / width,
                 (owner_costs.back().cpu - owner_costs.front().cpu) / width,
                 std::nullopt});
  AddSteps(searchers.endpoints().front(), &out);
  AddIdleMemory(searchers.endpoints().front(), &out);
  AddHeldMemory(searchers, &out);
  return out;
}

Registration path_cost_registration{
    {"path-cost",
     "CPU, allocations and memory of sub-requests from owner to searcher over "
     "loopback; baseline: a plain call for each, without queues",
     Run, true}};

}  // namespace

}  // namespace greengage::bench
