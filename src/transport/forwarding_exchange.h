// An exchange that passes everything on to another one.
#ifndef GREENGAGE_SRC_TRANSPORT_FORWARDING_EXCHANGE_H_
#define GREENGAGE_SRC_TRANSPORT_FORWARDING_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include "greengage/transport/http_server.h"

namespace greengage {

// Base of the exchanges that change what happens at one step.
class ForwardingExchange : public HttpExchange {
 public:
  explicit ForwardingExchange(std::shared_ptr<HttpExchange> caller)
      : caller_(std::move(caller)) {}

  void Reply(HttpResponse response) override {
    caller_->Reply(std::move(response));
  }
  uint64_t connection() const override { return caller_->connection(); }
  void Abort() override { caller_->Abort(); }
  void OnClientDisconnected(std::function<void()> hook) override {
    caller_->OnClientDisconnected(std::move(hook));
  }

 private:
  const std::shared_ptr<HttpExchange> caller_;
};

}  // namespace greengage

#endif  // GREENGAGE_SRC_TRANSPORT_FORWARDING_EXCHANGE_H_
