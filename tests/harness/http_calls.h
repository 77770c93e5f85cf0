// Blocking HTTP calls with JSON bodies, and polling of conditions.
#ifndef GREENGAGE_TESTS_HARNESS_HTTP_CALLS_H_
#define GREENGAGE_TESTS_HARNESS_HTTP_CALLS_H_

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "greengage/state/endpoint.h"
#include "greengage/transport/http_message.h"

namespace greengage {

// A response. `status` is 0 if no response was received.
struct JsonReply {
  unsigned status = 0;
  boost::json::object body;

  // Return the member `name` as text or as a number; empty or 0 if it is
  // missing.
  std::string Text(const char* name) const;
  uint64_t Number(const char* name) const;
};

JsonReply Call(const Endpoint& server,
               const std::string& method,
               const std::string& target,
               const std::string& body = "",
               std::chrono::milliseconds timeout = std::chrono::seconds(10));

// Sets the injected faults of a simulated platform or searcher. Aborts the test
// on failure.
void SetFaults(const Endpoint& server, const boost::json::object& faults);

// Polls `condition` until it holds. Returns false if it does not hold within
// `timeout`, which is kTestTimeout by default.
bool Eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds timeout);
bool Eventually(const std::function<bool()>& condition);

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_HTTP_CALLS_H_
