// One stream of a PeerClient whose end a test can wait for.
#ifndef GREENGAGE_TESTS_HARNESS_PEER_CALL_H_
#define GREENGAGE_TESTS_HARNESS_PEER_CALL_H_

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "greengage/transport/peer_link.h"

namespace greengage {

class PeerCall {
 public:
  PeerCall(PeerClient& client,
           std::string path,
           std::string message,
           std::chrono::milliseconds timeout = std::chrono::seconds(20))
      : state_(std::make_shared<State>()), ended_(state_->end.get_future()) {
    id_ = client.Open(
        std::move(path), std::move(message),
        std::chrono::steady_clock::now() + timeout,
        [state = state_](std::string answer) {
          state->answers.push_back(std::move(answer));
        },
        [state = state_](PeerStreamResult end) {
          state->end.set_value(std::move(end));
        });
  }

  // Waits for the end; only once.
  PeerStreamResult Wait() { return ended_.get(); }

  bool EndsWithin(std::chrono::milliseconds time) {
    return ended_.wait_for(time) == std::future_status::ready;
  }

  const std::vector<std::string>& answers() const { return state_->answers; }
  PeerClient::StreamId id() const { return id_; }

 private:
  struct State {
    std::vector<std::string> answers;
    std::promise<PeerStreamResult> end;
  };

  std::shared_ptr<State> state_;
  std::future<PeerStreamResult> ended_;
  PeerClient::StreamId id_ = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_PEER_CALL_H_
