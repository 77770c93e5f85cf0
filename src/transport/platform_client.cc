#include "greengage/transport/platform_client.h"

#include <utility>

#include "greengage/protocol/platform_codec.h"

namespace greengage {

namespace {

// Size of a 1 MiB value with every character escaped.
constexpr size_t kMaxAnswerBytes = size_t{6} << 20;

enum HttpStatus : unsigned {
  kOk = 200,
  kNotModified = 304,
  kNotFoundStatus = 404,
  kConflictStatus = 409,
};

Failure Unavailable(const std::string& subject, std::string detail) {
  return {FailureKind::kUnavailable, subject, std::move(detail)};
}

Failure UnexpectedStatus(const std::string& subject, unsigned status) {
  return Unavailable(
      subject, "the platform answered with status " + std::to_string(status));
}

// Returns the body of an answer with status 200, or else the failure.
Result<std::string> ReadBody(const HttpCallResult& result,
                             const std::string& subject) {
  if (!result.response) {
    const Failure& reason = result.response.last_reason();
    return reason.kind == FailureKind::kCancelled
               ? reason
               : Unavailable(subject, Describe(reason));
  }
  switch (result.response->status) {
    case kOk:
      return result.response->body;
    case kNotModified:
      return Failure{FailureKind::kStaleVersion, subject, "no newer version"};
    case kNotFoundStatus:
      return Failure{FailureKind::kNotFound, subject, "no such object"};
    default:
      return UnexpectedStatus(subject, result.response->status);
  }
}

template <typename Value>
HttpClient::Callback ParseWith(Result<Value> (*parse)(std::string_view),
                               std::string subject,
                               std::function<void(Result<Value>)> done) {
  return [parse, subject = std::move(subject),
          done = std::move(done)](const HttpCallResult& result) {
    const Result<std::string> body = ReadBody(result, subject);
    done(body ? parse(*body) : Result<Value>(body.last_reason()));
  };
}

// A 4xx status means that the platform rejected the request. Other statuses may
// come from an intermediary between the platform and this process.
bool IsRejection(unsigned status) {
  return status >= 400 && status < 500;
}

PlatformWrite FromAnswer(const HttpResponse& response,
                         const std::string& subject) {
  const Result<uint64_t> version = ParseVersion(response.body);
  if (response.status == kOk && version) {
    return {WriteOutcome::kDone, *version, {}};
  }
  if (response.status == kConflictStatus && version) {
    return {WriteOutcome::kConflict,
            *version,
            {FailureKind::kConflict, subject,
             "the current version is " + std::to_string(*version)}};
  }
  if (response.status == kNotFoundStatus) {
    return {WriteOutcome::kNotFound,
            0,
            {FailureKind::kNotFound, subject, "no such object"}};
  }
  const bool rejected =
      IsRejection(response.status) && response.status != kConflictStatus;
  return {rejected ? WriteOutcome::kRejected : WriteOutcome::kAmbiguous, 0,
          UnexpectedStatus(subject, response.status)};
}

HttpClient::Callback ReportWrite(std::string subject,
                                 PlatformClient::WriteCallback done) {
  return [subject = std::move(subject),
          done = std::move(done)](const HttpCallResult& result) {
    done(ToPlatformWrite(result, subject));
  };
}

std::string TargetWithExpectedVersion(const ObjectKey& key,
                                      uint64_t expected_version) {
  return ObjectTarget(key) + "?expected=" + std::to_string(expected_version);
}

}  // namespace

PlatformWrite ToPlatformWrite(const HttpCallResult& result,
                              const std::string& subject) {
  if (result.response) {
    return FromAnswer(*result.response, subject);
  }
  const WriteOutcome outcome =
      result.sent ? WriteOutcome::kAmbiguous : WriteOutcome::kUnavailable;
  return {outcome, 0,
          Unavailable(subject, Describe(result.response.last_reason()))};
}

std::shared_ptr<PlatformClient> PlatformClient::Create(
    boost::asio::io_context& context,
    const Endpoint& platform) {
  HttpClientLimits limits;
  limits.body_bytes = kMaxAnswerBytes;
  return std::make_shared<PlatformClient>(
      HttpClient::Create(context, platform, limits));
}

PlatformClient::PlatformClient(std::shared_ptr<HttpClient> http)
    : http_(std::move(http)) {}

PlatformClient::CallId PlatformClient::StartRead(const ObjectKey& key,
                                                 const std::string& parameters,
                                                 TimePoint deadline,
                                                 ReadCallback done) {
  HttpCall call{"GET", ObjectTarget(key) + parameters, {}, deadline};
  return http_->Start(
      std::move(call),
      ParseWith<PlatformObject>(ParseObject, ToString(key), std::move(done)));
}

PlatformClient::CallId PlatformClient::Read(const ObjectKey& key,
                                            TimePoint deadline,
                                            ReadCallback done) {
  return StartRead(key, "", deadline, std::move(done));
}

PlatformClient::CallId PlatformClient::Watch(const ObjectKey& key,
                                             uint64_t after,
                                             std::chrono::milliseconds wait,
                                             TimePoint deadline,
                                             ReadCallback done) {
  return StartRead(key,
                   "?after=" + std::to_string(after) +
                       "&wait_ms=" + std::to_string(wait.count()),
                   deadline, std::move(done));
}

PlatformClient::CallId PlatformClient::Put(const ObjectKey& key,
                                           uint64_t expected_version,
                                           std::string value,
                                           TimePoint deadline,
                                           WriteCallback done) {
  HttpCall call{"PUT", TargetWithExpectedVersion(key, expected_version),
                std::move(value), deadline};
  return http_->Start(std::move(call),
                      ReportWrite(ToString(key), std::move(done)));
}

PlatformClient::CallId PlatformClient::Delete(const ObjectKey& key,
                                              uint64_t expected_version,
                                              TimePoint deadline,
                                              WriteCallback done) {
  HttpCall call{
      "DELETE", TargetWithExpectedVersion(key, expected_version), {}, deadline};
  return http_->Start(std::move(call),
                      ReportWrite(ToString(key), std::move(done)));
}

PlatformClient::CallId PlatformClient::List(const std::string& kind,
                                            size_t limit,
                                            const std::string& after,
                                            TimePoint deadline,
                                            ListCallback done) {
  std::string target = KindTarget(kind) + "?limit=" + std::to_string(limit);
  if (!after.empty()) {
    target += "&after=" + PercentEncode(after);
  }
  HttpCall call{"GET", target, {}, deadline};
  return http_->Start(std::move(call),
                      ParseWith<std::vector<PlatformListing>>(
                          ParseListing, std::move(target), std::move(done)));
}

PlatformClient::CallId PlatformClient::Instances(TimePoint deadline,
                                                 InstancesCallback done) {
  HttpCall call{"GET", "/instances", {}, deadline};
  return http_->Start(std::move(call),
                      ParseWith<std::vector<Instance>>(
                          ParseInstances, "/instances", std::move(done)));
}

void PlatformClient::Cancel(CallId id) {
  http_->Cancel(id);
}

void PlatformClient::Close() {
  http_->Close();
}

}  // namespace greengage
