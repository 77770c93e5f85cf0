#include "greengage/transport/searcher_clients.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <utility>

namespace greengage {
namespace {

// A connection normally opens within one round trip plus the time of one
// request. A slower one is of no use to a request with a target latency of
// 100 ms or more.
constexpr std::chrono::milliseconds kConnectTimeout{500};

// Searchers close idle connections after some seconds, and not all of them
// announce that time.
constexpr std::chrono::milliseconds kIdleTimeout{30000};

// A process that ends closes its connections one after the other. After this
// time, one that is still open belongs to a running process.
constexpr std::chrono::milliseconds kEndOfStreamTime{50};

}  // namespace

SearcherClients::SearcherClients(
    boost::asio::io_context& context,
    std::function<size_t(const std::string&)> max_connections,
    std::shared_ptr<ReceiveBudget> receive_budget)
    : context_(context),
      max_connections_(std::move(max_connections)),
      receive_budget_(std::move(receive_budget)) {}

std::shared_ptr<HttpClient> SearcherClients::MakeClient(
    const RoutedSearcher& searcher) const {
  HttpClientLimits limits;
  limits.dynamic_connection_limit = [max_connections = max_connections_,
                                     service = searcher.entry().service] {
    return max_connections(service);
  };
  limits.receive_budget = receive_budget_;
  limits.connect_timeout = kConnectTimeout;
  limits.idle_timeout = kIdleTimeout;
  return HttpClient::Create(context_, searcher.entry().endpoint, limits);
}

std::shared_ptr<HttpClient> SearcherClients::ClientFor(
    const RoutedSearcher& searcher) {
  std::shared_ptr<HttpClient>& client = clients_[searcher.number()];
  if (!client) {
    client = MakeClient(searcher);
  }
  return client;
}

void SearcherClients::Start(const RoutedSearcher& searcher,
                            uint64_t attempt,
                            HttpCall call,
                            std::function<void(HttpCallResult)> done) {
  const std::shared_ptr<HttpClient> client = ClientFor(searcher);
  const HttpClient::CallId id = client->Start(
      std::move(call),
      [this, attempt, done = std::move(done)](HttpCallResult result) {
        attempts_.erase(attempt);
        done(std::move(result));
      });
  attempts_[attempt] = Attempt{client, id};
}

void SearcherClients::Cancel(uint64_t attempt) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end()) {
    found->second.client->Cancel(found->second.call);
  }
}

void SearcherClients::CheckEnded(const RoutedSearcher& searcher,
                                 std::function<void(bool ended)> done) {
  const auto found = clients_.find(searcher.number());
  const bool has_left = found == clients_.end();
  const auto client = has_left ? MakeClient(searcher) : found->second;
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(context_, kEndOfStreamTime);
  timer->async_wait(
      [timer, client, has_left, done = std::move(done)](auto error) {
        if (error) {
          return;
        }
        client->CheckServer([client, has_left, done](ServerState state) {
          if (has_left) {
            client->Close();
          }
          done(state == ServerState::kRefusing);
        });
      });
}

void SearcherClients::Close(const RoutedSearcher& searcher) {
  const auto found = clients_.find(searcher.number());
  if (found != clients_.end()) {
    found->second->Close();
    clients_.erase(found);
  }
}

void SearcherClients::TrimConnections() {
  for (const auto& [searcher, client] : clients_) {
    client->TrimConnections();
  }
}

void SearcherClients::CloseAll() {
  for (const auto& [number, client] : std::exchange(clients_, {})) {
    client->Close();
  }
}

}  // namespace greengage
