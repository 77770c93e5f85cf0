// Forwards callers' queries to instances that gather.
#ifndef GREENGAGE_TRANSPORT_GATHER_FORWARDER_H_
#define GREENGAGE_TRANSPORT_GATHER_FORWARDER_H_

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "greengage/coordination/gatherers.h"
#include "greengage/protocol/header_list.h"
#include "greengage/state/endpoint.h"
#include "greengage/state/key_digest.h"
#include "greengage/state/searcher_entry.h"
#include "greengage/state/time.h"
#include "greengage/transport/http_client.h"
#include "greengage/transport/http_server.h"

namespace greengage {

// Path of the call that finds out whether a peer still answers.
inline constexpr char kAlivePath[] = "/alive";

// Status with which an instance refuses a forwarded query, for example because
// it is shutting down or has an older configuration. The query has not run.
inline constexpr unsigned kForwardRefusedStatus = 421;

// Header of a refusal by an instance that does not reach the searchers.
inline constexpr char kCutOffHeader[] = "Greengage-Cut-Off";

// The caller of a forwarded query. Keys are not passed on, only their digests.
struct ForwardedCaller {
  std::optional<KeyDigest> key;
  // The sender has charged the query to the quota of the organisation that it
  // names.
  bool is_charged = false;
};

// What an instance tells the gatherer about a query, in a header.
struct ForwardInfo {
  uint64_t configuration = 0;  // Oldest version that may be used.
  // Name of the organisation whose key the caller has by that version; empty if
  // the caller needs none. Set if only gatherers that know organisations and
  // regions may have the query.
  std::optional<std::string> organisation;
  // Missing if the sender is of an earlier release, which decides for the
  // gatherer whose key the caller has.
  std::optional<ForwardedCaller> caller;
};

// Replaces a header of the same name.
void AddForwardInfo(const ForwardInfo& info, HeaderList& headers);

bool HasForwardInfo(const HeaderList& headers);

// Removes the headers that AddForwardInfo() adds. Returns nothing if they are
// missing or malformed.
std::optional<ForwardInfo> TakeForwardInfo(HeaderList& headers);

// Header of a gatherer's answer: the id of the request that it answers.
inline constexpr char kAnsweredRequestHeader[] = "Greengage-Answered";

// Header of a gatherer's answer if it rejected the query, which has not run.
inline constexpr char kNotRunHeader[] = "Greengage-Query-Not-Run";

struct ForwardedQuery {
  std::string request_id;
  HttpCall call;  // The request for the gatherer, without ForwardInfo.
  ForwardInfo info;
  // Returns whether a peer may get the request. Empty if all may.
  std::function<bool(const InstanceRecord&)> may_get;
  // Time at which a gatherer without an answer is checked.
  TimePoint expected_by;
};

// Each query is forwarded over one hop. A query that did not reach its gatherer
// goes to another one. If the gatherer is lost with the query, the caller gets
// an error at once: the searchers may have received all attempts that the route
// allows, so only the caller may try again. A gatherer that is only slow keeps
// the query. Not thread-safe: runs on one thread.
class GatherForwarder : public std::enable_shared_from_this<GatherForwarder> {
 public:
  // The exchange is that of the caller.
  using GatherHere = std::function<void(const std::shared_ptr<HttpExchange>&)>;

  struct Hooks {
    // Runs once for each query that is answered after it was forwarded, whether
    // by a gatherer or with an error because the gatherer was lost.
    // `configuration` is the version by which this instance forwarded it.
    std::function<void(const std::string& request_id,
                       const std::string& gatherer,
                       uint64_t configuration,
                       unsigned status,
                       Duration took)>
        on_answered;
    // Runs for each gatherer that refused a query or did not answer it.
    std::function<void(const std::string& request_id,
                       const std::string& gatherer,
                       const std::string& detail)>
        on_failed;
    // Runs for each searcher that said that it leaves, in an answer of which a
    // gatherer made its own. Before on_answered.
    std::function<void(const SearcherEntry&)> on_leaving;
  };

  // `chooser` and `random` must outlive the forwarder. Each query is offered to
  // at most `max_peers` peers. `receive_budget` bounds the unfinished answers
  // of all peers together.
  GatherForwarder(boost::asio::io_context& context,
                  size_t max_peers,
                  std::shared_ptr<ReceiveBudget> receive_budget,
                  GathererChooser* chooser,
                  std::minstd_rand* random,
                  Hooks hooks);

  // Forwards the query, or runs `gather_here` if no gatherer can take it.
  void Forward(ForwardedQuery query,
               const std::shared_ptr<HttpExchange>& exchange,
               GatherHere gather_here);

  // Answers all queries that are in flight with an error, because the process
  // ends: their gatherers may have run them.
  void EndAll();

  size_t in_flight() const { return queries_.size(); }

 private:
  class Query;

  std::shared_ptr<HttpClient> ClientFor(const Endpoint& endpoint);

  boost::asio::io_context& context_;
  const size_t max_peers_;
  const std::shared_ptr<ReceiveBudget> receive_budget_;
  GathererChooser* const chooser_;
  std::minstd_rand* const random_;
  const Hooks hooks_;
  std::map<Endpoint, std::shared_ptr<HttpClient>> clients_;
  std::map<uint64_t, std::weak_ptr<Query>> queries_;  // Without a result yet.
  uint64_t last_query_ = 0;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_GATHER_FORWARDER_H_
