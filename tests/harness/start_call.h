// Starts a call whose result a test waits for.
#ifndef GREENGAGE_TESTS_HARNESS_START_CALL_H_
#define GREENGAGE_TESTS_HARNESS_START_CALL_H_

#include <future>
#include <memory>
#include <utility>

#include "greengage/transport/http_client.h"

namespace greengage {

inline std::future<HttpCallResult> StartCall(HttpClient& client,
                                             HttpCall call) {
  const auto ended = std::make_shared<std::promise<HttpCallResult>>();
  client.Start(std::move(call), [ended](HttpCallResult result) {
    ended->set_value(std::move(result));
  });
  return ended->get_future();
}

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_START_CALL_H_
