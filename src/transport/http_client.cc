#include "greengage/transport/http_client.h"

#include <boost/asio/io_context.hpp>

#include <optional>
#include <utility>

#include "transport/http_client_pool.h"

namespace greengage {

std::shared_ptr<HttpClient> HttpClient::Create(boost::asio::io_context& context,
                                               const Endpoint& server,
                                               const HttpClientLimits& limits) {
  return std::make_shared<HttpClientPool>(context, server, limits);
}

Result<HttpResponse> CallAndWait(const Endpoint& server,
                                 HttpCall call,
                                 std::chrono::milliseconds timeout) {
  boost::asio::io_context context(1);
  const auto client = HttpClient::Create(context, server, {});
  std::optional<HttpCallResult> result;
  call.deadline = std::chrono::steady_clock::now() + timeout;
  client->Start(std::move(call), [&](HttpCallResult ended) {
    result.emplace(std::move(ended));
    context.stop();
  });
  context.run();
  // The pool and its connections refer to each other until it is closed.
  client->Close();
  context.restart();
  context.poll();
  return std::move(result->response);
}

}  // namespace greengage
