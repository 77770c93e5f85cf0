#include "greengage/transport/searcher_clients.h"

#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>

#include "greengage/coordination/routed_searcher.h"
#include "tests/harness/io_threads.h"
#include "tests/harness/raw_server.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr std::chrono::seconds kTimeout{10};

std::shared_ptr<RawServer> StartServer(IoThreads& io, const std::string& name) {
  return RawServer::Start(io.context(), [name](const RawRequest&) {
    return RawReply{HttpBytes(200, "", name)};
  });
}

SearcherEntry EntryOf(const std::string& id, const RawServer& server) {
  SearcherEntry entry;
  entry.id = id;
  entry.service = "service";
  entry.endpoint = server.endpoint();
  return entry;
}

// Runs on the thread of the io_context, as the decisions of an instance do.
class Clients {
 public:
  explicit Clients(IoThreads& io)
      : io_(io),
        clients_(
            io.context(),
            [](const std::string&) { return 2; },
            nullptr) {}

  ~Clients() {
    Run([this] { clients_.CloseAll(); });
  }

  std::string Call(const RoutedSearcher& searcher) {
    auto answer = std::make_shared<std::promise<std::string>>();
    Run([&] {
      HttpCall call;
      call.target = "/";
      call.deadline = std::chrono::steady_clock::now() + kTimeout;
      clients_.Start(searcher, ++last_attempt_, std::move(call),
                     [answer](const HttpCallResult& result) {
                       answer->set_value(result.response ? result.response->body
                                                         : "no answer");
                     });
    });
    return answer->get_future().get();
  }

  bool CheckEnded(const RoutedSearcher& searcher) {
    auto ended = std::make_shared<std::promise<bool>>();
    Run([&] {
      clients_.CheckEnded(
          searcher, [ended](bool has_ended) { ended->set_value(has_ended); });
    });
    return ended->get_future().get();
  }

  void Close(const RoutedSearcher& searcher) {
    Run([&] { clients_.Close(searcher); });
  }

  size_t size() {
    size_t size = 0;
    Run([&] { size = clients_.size(); });
    return size;
  }

 private:
  template <typename Function>
  void Run(Function function) {
    std::promise<void> done;
    boost::asio::post(io_.context(), [&] {
      function();
      done.set_value();
    });
    done.get_future().wait();
  }

  IoThreads& io_;
  SearcherClients clients_;
  uint64_t last_attempt_ = 0;
};

}  // namespace

Test(SearcherClients, SendNothingToAnEarlierSearcherAtTheSameMemory) {
  IoThreads io(1);
  Clients clients(io);
  const auto first = StartServer(io, "first");
  const auto second = StartServer(io, "second");
  // The value of an optional always has the same address.
  std::optional<RoutedSearcher> searcher;
  searcher.emplace(TimePoint(), EntryOf("first", *first));
  cr_assert(clients.Call(*searcher) == "first");
  clients.Close(*searcher);
  cr_assert(!clients.CheckEnded(*searcher));
  searcher.emplace(TimePoint(), EntryOf("second", *second));
  const std::string answer = clients.Call(*searcher);
  cr_assert(answer == "second", "%s", answer.c_str());
  cr_assert(first->requests() == 1);
}

Test(SearcherClients, KeepNothingOfASearcherThatHasLeft) {
  IoThreads io(1);
  Clients clients(io);
  const auto server = StartServer(io, "one");
  const RoutedSearcher searcher(TimePoint(), EntryOf("one", *server));
  cr_assert(clients.Call(searcher) == "one");
  cr_assert(clients.size() == 1);
  clients.Close(searcher);
  cr_assert(!clients.CheckEnded(searcher));
  cr_assert(clients.size() == 0, "%zu", clients.size());
}

Test(SearcherClients, ReportTheEndOfASearcherThatHasLeft) {
  IoThreads io(1);
  Clients clients(io);
  auto server = StartServer(io, "one");
  const RoutedSearcher searcher(TimePoint(), EntryOf("one", *server));
  clients.Close(searcher);
  std::promise<void> stopped;
  boost::asio::post(io.context(), [&] {
    server->Stop();
    stopped.set_value();
  });
  stopped.get_future().wait();
  cr_assert(clients.CheckEnded(searcher));
}

}  // namespace greengage
