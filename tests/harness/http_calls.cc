#include "tests/harness/http_calls.h"

#include <thread>
#include <utility>

#include "greengage/transport/http_client.h"
#include "tests/harness/process.h"

#include <criterion/criterion.h>

namespace greengage {

namespace {

constexpr std::chrono::milliseconds kPollPeriod{10};

}  // namespace

std::string JsonReply::Text(const char* name) const {
  const boost::json::value* value = body.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

uint64_t JsonReply::Number(const char* name) const {
  const boost::json::value* value = body.if_contains(name);
  boost::system::error_code error;
  return value == nullptr ? 0 : value->to_number<uint64_t>(error);
}

JsonReply Call(const Endpoint& server,
               const std::string& method,
               const std::string& target,
               const std::string& body,
               std::chrono::milliseconds timeout) {
  HttpCall call;
  call.method = method;
  call.target = target;
  call.body = body;
  call.deadline = std::chrono::steady_clock::now() + timeout;
  const Result<HttpResponse> response =
      CallAndWait(server, std::move(call), timeout);
  JsonReply reply;
  if (!response) {
    return reply;
  }
  reply.status = response->status;
  boost::system::error_code error;
  boost::json::value parsed = boost::json::parse(response->body, error);
  if (!error && parsed.is_object()) {
    reply.body = std::move(parsed.get_object());
  }
  return reply;
}

void SetFaults(const Endpoint& stand_in, const boost::json::object& faults) {
  const JsonReply reply =
      Call(stand_in, "POST", "/faults", boost::json::serialize(faults));
  cr_assert(reply.status == 204, "faults refused with %u", reply.status);
}

bool Eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds patience) {
  const auto limit = std::chrono::steady_clock::now() + patience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= limit) {
      return false;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

bool Eventually(const std::function<bool()>& condition) {
  return Eventually(condition, kTestTimeout);
}

}  // namespace greengage
