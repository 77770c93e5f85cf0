#include "tools/greengagectl/calls.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "greengage/protocol/status_codec.h"
#include "greengage/transport/http_client.h"
#include "greengage/transport/platform_client.h"

namespace greengage {

namespace {

constexpr size_t kConcurrentCalls = 64;
constexpr size_t kMaxResponseBytes = size_t{32} << 20;
constexpr int kMaxDiscoveryRounds = 3;

TimePoint DeadlineAfter(std::chrono::milliseconds timeout) {
  return std::chrono::steady_clock::now() + timeout;
}

// Calls `start` with a client and a completion callback, then blocks until the
// callback has run.
template <typename Value, typename Start>
Value CallPlatform(const Endpoint& platform, const Start& start) {
  boost::asio::io_context context;
  const auto client = PlatformClient::Create(context, platform);
  std::optional<Value> answer;
  start(*client, [&answer](Value value) { answer = std::move(value); });
  while (!answer && context.run_one() > 0) {
  }
  return *std::move(answer);
}

Result<std::string> ResponseBody(const HttpCallResult& result,
                                 const Endpoint& endpoint) {
  if (!result.response) {
    return result.response.last_reason();
  }
  if (result.response->status != 200) {
    return Failure{FailureKind::kUnavailable, ToString(endpoint),
                   "answered with " + std::to_string(result.response->status)};
  }
  return result.response->body;
}

// Runs `count` calls concurrently and appends their results to `answers`.
void FetchBatch(const Endpoint* first,
                size_t count,
                const std::string& target,
                TimePoint deadline,
                std::vector<Result<std::string>>& answers) {
  boost::asio::io_context context;
  std::vector<std::shared_ptr<HttpClient>> clients;
  std::vector<std::optional<Result<std::string>>> batch(count);
  size_t pending = count;
  HttpClientLimits limits;
  limits.connections = 1;
  limits.body_bytes = kMaxResponseBytes;
  for (size_t index = 0; index < count; ++index) {
    const Endpoint& endpoint = first[index];
    clients.push_back(HttpClient::Create(context, endpoint, limits));
    clients.back()->Start({"GET", target, {}, deadline},
                          [&, index](const HttpCallResult& result) {
                            batch[index] = ResponseBody(result, first[index]);
                            --pending;
                          });
  }
  while (pending > 0 && context.run_one() > 0) {
  }
  for (std::optional<Result<std::string>>& answer : batch) {
    answers.push_back(*std::move(answer));
  }
}

}  // namespace

Result<PlatformObject> ReadConfigurationObject(
    const Endpoint& platform,
    std::chrono::milliseconds timeout) {
  return CallPlatform<Result<PlatformObject>>(
      platform, [&](PlatformClient& client, auto done) {
        client.Read(ConfigurationObject(), DeadlineAfter(timeout), done);
      });
}

PlatformWrite WriteConfigurationObject(const Endpoint& platform,
                                       uint64_t expected,
                                       const std::string& value,
                                       std::chrono::milliseconds timeout) {
  return CallPlatform<PlatformWrite>(
      platform, [&](PlatformClient& client, auto done) {
        client.Put(ConfigurationObject(), expected, value,
                   DeadlineAfter(timeout), done);
      });
}

std::vector<Result<std::string>> FetchAll(
    const std::vector<Endpoint>& endpoints,
    const std::string& target,
    std::chrono::milliseconds timeout) {
  std::vector<Result<std::string>> answers;
  for (size_t begin = 0; begin < endpoints.size(); begin += kConcurrentCalls) {
    const size_t count = std::min(kConcurrentCalls, endpoints.size() - begin);
    FetchBatch(&endpoints[begin], count, target, DeadlineAfter(timeout),
               answers);
  }
  return answers;
}

Result<ConfigurationRollout> StartRollout(const CommandLine& line,
                                          uint64_t version) {
  ConfigurationRollout rollout(version, line.instances);
  if (!line.instances.empty()) {
    return rollout;
  }
  if (!line.platform) {
    return Failure{FailureKind::kMissingKey, "--instance",
                   "the command needs --instance or --platform"};
  }
  const auto listed = CallPlatform<Result<std::vector<Instance>>>(
      *line.platform, [&](PlatformClient& client, auto done) {
        client.Instances(DeadlineAfter(line.timeout), done);
      });
  if (!listed) {
    return listed.last_reason();
  }
  std::vector<Endpoint> endpoints;
  for (const Instance& instance : *listed) {
    endpoints.push_back(instance.http);
  }
  rollout.AddPlatformInstances(endpoints);
  return rollout;
}

void PollRound(ConfigurationRollout& rollout,
               std::chrono::milliseconds timeout) {
  const std::vector<Endpoint> endpoints = rollout.EndpointsToPoll();
  const auto answers = FetchAll(endpoints, "/v1/status", timeout);
  for (size_t index = 0; index < endpoints.size(); ++index) {
    const Result<std::string>& body = answers[index];
    const Result<InstanceStatus> status =
        body ? ParseStatus(*body) : Result<InstanceStatus>(body.last_reason());
    if (status) {
      rollout.OnStatus(endpoints[index], *status);
    } else {
      rollout.OnUnreachable(endpoints[index]);
    }
  }
  rollout.EndRound();
}

void DiscoverInstances(ConfigurationRollout& rollout,
                       std::chrono::milliseconds timeout) {
  size_t previous = 0;
  for (int round = 0; round < kMaxDiscoveryRounds; ++round) {
    PollRound(rollout, timeout);
    const size_t discovered = rollout.EndpointsToPoll().size();
    if (discovered == previous) {
      return;
    }
    previous = discovered;
  }
}

}  // namespace greengage
