// HTTP clients for the searchers of opaque requests.
#ifndef GREENGAGE_TRANSPORT_SEARCHER_CLIENTS_H_
#define GREENGAGE_TRANSPORT_SEARCHER_CLIENTS_H_

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "greengage/coordination/routed_searcher.h"
#include "greengage/transport/http_client.h"

namespace greengage {

// Keeps one connection pool per searcher process, created on first use. Not
// thread-safe: must be used on one thread.
class SearcherClients {
 public:
  // `max_connections` returns the number of connections that this instance may
  // open to a searcher of the given service. It is called whenever a client
  // could use another connection. `receive_budget` bounds the unfinished
  // answers of all searchers together.
  SearcherClients(boost::asio::io_context& context,
                  std::function<size_t(const std::string&)> max_connections,
                  std::shared_ptr<ReceiveBudget> receive_budget);

  void Start(const RoutedSearcher& searcher,
             uint64_t attempt,
             HttpCall call,
             std::function<void(HttpCallResult)> done);

  // Cancels an attempt. If the request has been sent, its connection is closed.
  void Cancel(uint64_t attempt);

  // Finds out whether the process of a searcher has ended, after it closed a
  // connection. `done` runs once at most. The searcher may have left: no
  // connection pool is kept for it then.
  void CheckEnded(const RoutedSearcher& searcher,
                  std::function<void(bool ended)> done);

  // Closes the connections to a leaving searcher after its attempts in flight
  // have finished.
  void Close(const RoutedSearcher& searcher);

  // Closes idle connections beyond `max_connections`, which has become lower.
  void TrimConnections();

  void CloseAll();

  // Number of searchers with a connection pool.
  size_t size() const { return clients_.size(); }

 private:
  struct Attempt {
    std::shared_ptr<HttpClient> client;
    HttpClient::CallId call = 0;
  };

  std::shared_ptr<HttpClient> ClientFor(const RoutedSearcher& searcher);
  std::shared_ptr<HttpClient> MakeClient(const RoutedSearcher& searcher) const;

  boost::asio::io_context& context_;
  const std::function<size_t(const std::string&)> max_connections_;
  const std::shared_ptr<ReceiveBudget> receive_budget_;
  // By the number of the searcher. Its address may be that of a later one.
  std::unordered_map<uint64_t, std::shared_ptr<HttpClient>> clients_;
  std::unordered_map<uint64_t, Attempt> attempts_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_SEARCHER_CLIENTS_H_
