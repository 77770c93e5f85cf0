// Each malformed, oversized, slow or truncated request or answer yields a typed
// failure, and the process keeps serving.
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "tests/harness/deployment.h"
#include "tests/harness/naive_query.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

namespace asio = boost::asio;

constexpr uint64_t kSeed = 7;
constexpr char kTightLimits[] =
    "[http]\nbody_bytes = 4096\nheader_bytes = 2048\n"
    "read_timeout_ms = 300\nidle_timeout_ms = 60000\n";

DeploymentShape Shape() {
  return {.instances_per_data_centre = 1,
          .shards = 2,
          .replicas = 1,
          .instance_settings = kTightLimits};
}

// Sends raw bytes and returns everything received until the server closes the
// connection. With `half_close`, the sending side is shut down first.
std::string Exchange(const Endpoint& server,
                     const std::string& bytes,
                     bool half_close) {
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect({asio::ip::make_address(server.host), server.port});
  boost::system::error_code error;
  asio::write(socket, asio::buffer(bytes), error);
  if (half_close) {
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  }
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  return answer;
}

std::string FormatPost(const std::string& body, size_t stated_length) {
  return "POST /v1/query HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
         "Content-Length: " +
         std::to_string(stated_length) + "\r\n\r\n" + body;
}

bool Serves(const Deployment& deployment) {
  const JsonReply reply = deployment.Query(0, {{"text", "tea"}});
  return reply.Text("outcome") == "answered" && IsTruthful(reply, "tea", 20);
}

Test(Malformed, BadBodiesGetATypedFailure) {
  Deployment deployment(Shape());
  const Endpoint& server = deployment.instance(0).endpoint();
  for (const char* body :
       {"", "{", "[]", "null", "{}", R"({"service":7})",
        R"({"service":"nothing","text":"a"})",
        R"({"service":"table-finder","text":"a","limit":-1})",
        R"({"service":"table-finder","text":"a","rank":"king"})",
        R"({"service":"table-finder","text":"a","deadline_ms":1e99})",
        R"({"service":"table-finder","text":"a","idempotent":false})"}) {
    const JsonReply reply = Call(server, "POST", "/v1/query", body);
    cr_expect(reply.status >= 400 && reply.status < 500, "%s gave %u", body,
              reply.status);
    const boost::json::value* error = reply.body.if_contains("error");
    cr_expect(error != nullptr && error->is_object(), "%s", body);
  }
  cr_expect(Serves(deployment));
}

Test(Malformed, OversizedRequestsAreRejected) {
  Deployment deployment(Shape());
  const Endpoint& server = deployment.instance(0).endpoint();
  const std::string large(5000, 'x');
  cr_expect(Exchange(server, FormatPost(large, large.size()), false)
                .starts_with("HTTP/1.1 413"));
  cr_expect(Exchange(server, FormatPost("", 1ULL << 40), false)
                .starts_with("HTTP/1.1 413"));
  cr_expect(
      Exchange(server, "GET /livez HTTP/1.1\r\nX: " + large + "\r\n\r\n", false)
          .starts_with("HTTP/1.1 431"));
  const std::string deep(3000, '[');
  cr_expect(Call(server, "POST", "/v1/query", deep).status == 400);
  cr_expect(Serves(deployment));
}

// The server closes the connection after the read timeout and keeps serving
// others.
Test(Malformed, SlowAndTruncatedRequestsTimeOut) {
  Deployment deployment(Shape());
  const Endpoint& server = deployment.instance(0).endpoint();
  Exchange(server, "POST /v1/query HT", false);
  Exchange(server, FormatPost("{\"service\"", 100), false);
  Exchange(server, FormatPost("{\"service\"", 100), true);
  cr_expect(Serves(deployment));
}

Test(Malformed, ServesAfterRandomBytes) {
  Deployment deployment(Shape());
  const Endpoint& server = deployment.instance(0).endpoint();
  std::mt19937_64 random(kSeed);
  for (int round = 0; round < 50; ++round) {
    std::string bytes(1 + random() % 200, '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random());
    }
    const bool as_body = random() % 2 == 0;
    Exchange(server, as_body ? FormatPost(bytes, bytes.size()) : bytes, true);
  }
  cr_expect(Serves(deployment));
}

Test(Malformed, TruncatedSearcherAnswersBecomeMissingShards) {
  Deployment deployment(Shape());
  deployment.SetSearcherFaults({{"truncated_answers", 10}});
  const JsonReply reply =
      deployment.Query(0, {{"text", "tea"}, {"deadline_ms", 500}});
  cr_expect(reply.status != 0);
  if (reply.Text("outcome") == "answered") {
    cr_expect(IsTruthful(reply, "tea", 20));
  }
  deployment.SetSearcherFaults({{"truncated_answers", 0}});
  cr_expect(Eventually([&] { return Serves(deployment); }));
}

}  // namespace
}  // namespace greengage
