// Connections that the server closes without an answer.
#include <chrono>
#include <memory>

#include "greengage/transport/http_client.h"
#include "greengage/transport/http_server.h"
#include "tests/harness/io_threads.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr size_t kConnections = 4;
constexpr std::chrono::seconds kTimeout{5};

bool Answers(const Endpoint& server, const char* target) {
  HttpCall call;
  call.target = target;
  return CallAndWait(server, call, kTimeout).ok();
}

// A hook that holds the exchange must not keep the aborted connection, which
// would count against the limit for ever.
Test(HttpAbort, FreesTheConnectionOfAnExchangeThatItsHookHolds) {
  IoThreads threads(1);
  HttpServerLimits limits;
  limits.connections = kConnections;
  const auto server = HttpServer::Listen(
      threads.context(), {"127.0.0.1", 0}, limits,
      [](const HttpRequest& request,
         const std::shared_ptr<HttpExchange>& exchange) {
        exchange->OnClientDisconnected([exchange] { exchange->Abort(); });
        if (request.path == "/abort") {
          exchange->Abort();
        } else {
          exchange->Reply(HttpResponse{.body = "{}"});
        }
      });
  cr_assert(server.ok());
  const Endpoint endpoint = (*server)->endpoint();
  for (size_t i = 0; i < 4 * kConnections; ++i) {
    cr_expect(!Answers(endpoint, "/abort"));
  }
  cr_expect(Answers(endpoint, "/answer"));
}

}  // namespace
}  // namespace greengage
