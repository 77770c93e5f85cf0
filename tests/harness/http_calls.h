// Blocking HTTP calls with JSON, and waiting for conditions.
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

// A response; status 0 if there was none.
struct JsonReply {
  unsigned status = 0;
  boost::json::object body;

  // Member `name` as text or number; empty or 0 if there is none.
  std::string Text(const char* name) const;
  uint64_t Number(const char* name) const;
};

JsonReply Call(const Endpoint& server,
               const std::string& method,
               const std::string& target,
               const std::string& body = "",
               std::chrono::milliseconds timeout = std::chrono::seconds(10));

// Switches faults of a stand-in; stops the test if that fails.
void SetFaults(const Endpoint& stand_in, const boost::json::object& faults);

// Whether `condition` holds within `patience`.
bool Eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds patience);
bool Eventually(const std::function<bool()>& condition);

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_HTTP_CALLS_H_
