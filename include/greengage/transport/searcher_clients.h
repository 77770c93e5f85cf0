// The connections to searchers of opaque requests.
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

// One pool for each searcher process, made when it is first used. Used on one
// thread.
class SearcherClients {
 public:
  // `connections` tells how many this instance may open to a searcher of a
  // service; it is asked whenever one more would help.
  SearcherClients(boost::asio::io_context& context,
                  std::function<size_t(const std::string&)> connections);

  void Start(const RoutedSearcher& searcher,
             uint64_t attempt,
             HttpCall call,
             std::function<void(HttpCallResult)> done);

  // Ends an attempt; its connection closes if it has been sent.
  void Cancel(uint64_t attempt);

  // Lets the attempts at a searcher that leaves finish, and closes its
  // connections.
  void Close(const RoutedSearcher& searcher);

  void CloseAll();

 private:
  struct Attempt {
    std::shared_ptr<HttpClient> client;
    HttpClient::CallId call = 0;
  };

  std::shared_ptr<HttpClient> ClientOf(const RoutedSearcher& searcher);

  boost::asio::io_context& context_;
  const std::function<size_t(const std::string&)> connections_;
  std::unordered_map<const RoutedSearcher*, std::shared_ptr<HttpClient>>
      clients_;
  std::unordered_map<uint64_t, Attempt> attempts_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_SEARCHER_CLIENTS_H_
