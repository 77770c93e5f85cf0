#include "greengage/transport/platform_client.h"

#include <optional>
#include <utility>

#include <criterion/criterion.h>

namespace greengage {
namespace {

// Records each call and completes it with the result set by the test.
class FakeHttpClient : public HttpClient {
 public:
  CallId Start(HttpCall call, Callback done) override {
    last_call = std::move(call);
    done(result);
    return 1;
  }
  void Cancel(CallId /*id*/) override {}
  void CheckServer(std::function<void(ServerState)> done) override {
    done(ServerState::kUnknown);
  }
  void TrimConnections() override {}
  void Close() override {}
  const Endpoint& server() const override { return endpoint_; }
  size_t open_connections() const override { return 0; }

  void Answer(unsigned status, std::string body) {
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    result = {response, true};
  }
  void Fail(FailureKind kind, bool sent) {
    result = {Failure{kind, "platform", ""}, sent};
  }

  HttpCall last_call;
  HttpCallResult result{Failure{}, false};

 private:
  Endpoint endpoint_;
};

struct Fixture {
  std::shared_ptr<FakeHttpClient> http = std::make_shared<FakeHttpClient>();
  PlatformClient client{http};
  const ObjectKey key{"claim", "a/b"};

  PlatformWrite Put() {
    std::optional<PlatformWrite> write;
    client.Put(key, 3, "value", {},
               [&](PlatformWrite result) { write = std::move(result); });
    return *write;
  }
  Result<PlatformObject> Watch() {
    std::optional<Result<PlatformObject>> object;
    client.Watch(
        key, 9, std::chrono::seconds(2), {},
        [&](const Result<PlatformObject>& result) { object = result; });
    return *object;
  }
};

}  // namespace

Test(PlatformClient, MapsResponsesToWriteOutcomes) {
  Fixture fixture;
  const struct {
    unsigned status;
    std::string body;
    WriteOutcome outcome;
    uint64_t version;
  } answers[] = {
      {200, "{\"version\": 12}", WriteOutcome::kDone, 12},
      {200, "{\"ver", WriteOutcome::kAmbiguous, 0},
      {409, "{\"version\": 11}", WriteOutcome::kConflict, 11},
      {409, "", WriteOutcome::kAmbiguous, 0},
      {404, "", WriteOutcome::kNotFound, 0},
      {413, "", WriteOutcome::kRejected, 0},
      {503, "", WriteOutcome::kAmbiguous, 0},
  };
  for (const auto& answer : answers) {
    fixture.http->Answer(answer.status, answer.body);
    const PlatformWrite write = fixture.Put();
    cr_expect(write.outcome == answer.outcome, "%u", answer.status);
    cr_expect(write.version == answer.version);
  }
  cr_assert(fixture.http->last_call.method == "PUT");
  cr_assert(fixture.http->last_call.target ==
            "/objects/claim/a%2Fb?expected=3");
  cr_assert(fixture.http->last_call.body == "value");
  fixture.http->Fail(FailureKind::kTimedOut, true);
  cr_assert(fixture.Put().outcome == WriteOutcome::kAmbiguous);
  fixture.http->Fail(FailureKind::kConnectFailed, false);
  cr_assert(fixture.Put().outcome == WriteOutcome::kUnavailable);
}

Test(PlatformClient, ReadsObjectsAndMapsFailures) {
  Fixture fixture;
  fixture.http->Answer(200,
                       "{\"kind\": \"claim\", \"name\": \"a/b\", "
                       "\"version\": 12, \"value\": \"v\", "
                       "\"modified_ms\": 1500}");
  const Result<PlatformObject> object = fixture.Watch();
  cr_assert(object.ok());
  cr_assert(object->key == fixture.key);
  cr_assert(object->version == 12 && object->value == "v");
  cr_assert(SinceEpoch(object->modified).count() == 1500);
  cr_assert(fixture.http->last_call.target ==
            "/objects/claim/a%2Fb?after=9&wait_ms=2000");
  const std::pair<unsigned, FailureKind> failures[] = {
      {304, FailureKind::kStaleVersion},
      {404, FailureKind::kNotFound},
      {500, FailureKind::kUnavailable},
  };
  for (const auto& [status, kind] : failures) {
    fixture.http->Answer(status, "");
    cr_expect(fixture.Watch().last_reason().kind == kind);
  }
  fixture.http->Answer(200, "{\"version\": -1}");
  cr_assert(fixture.Watch().last_reason().kind ==
            FailureKind::kMalformedMessage);
}

Test(PlatformClient, ListsObjectsAndInstances) {
  Fixture fixture;
  fixture.http->Answer(200,
                       "{\"objects\": [{\"name\": \"a\", \"version\": 4}]}");
  size_t objects = 0;
  fixture.client.List("claim", 10, "x y", {},
                      [&](const Result<std::vector<PlatformListing>>& list) {
                        objects = list->size();
                      });
  cr_assert(objects == 1);
  cr_assert(fixture.http->last_call.target ==
            "/objects/claim?limit=10&after=x%20y");
  fixture.http->Answer(
      200,
      "{\"instances\": [{\"id\": \"broken\"}, {\"id\": \"a1\", "
      "\"peer\": \"127.0.0.1:1\", \"http\": \"127.0.0.1:2\", "
      "\"data_centre\": \"a\", \"state\": \"leaving\"}]}");
  std::vector<Instance> instances;
  fixture.client.Instances({}, [&](const Result<std::vector<Instance>>& list) {
    instances = *list;
  });
  cr_assert(instances.size() == 1);
  cr_assert(instances.front().id == "a1");
  cr_assert(instances.front().state == InstanceState::kLeaving);
}

}  // namespace greengage
