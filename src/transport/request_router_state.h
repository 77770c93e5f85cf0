// The requests of a RequestRouter, for its source files.
#ifndef GREENGAGE_SRC_TRANSPORT_REQUEST_ROUTER_STATE_H_
#define GREENGAGE_SRC_TRANSPORT_REQUEST_ROUTER_STATE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "greengage/transport/request_router.h"

namespace greengage {

inline constexpr char kSuspectDetail[] =
    "searchers ended while they had such a request";

// Data of one attempt for the log. `sent` and `ended` count from the arrival of
// the request.
struct RequestRouter::AttemptRecord {
  uint64_t attempt = 0;
  AttemptReason reason = AttemptReason::kFirst;
  std::string service;
  std::string searcher;
  Duration sent{};
  Duration expected{};
  std::optional<AttemptEnd> end;
  Duration ended{};
  std::string detail;
};

// A request that was admitted.
struct RequestRouter::Arrival {
  HttpRequest request;
  CallerRequest caller;
  std::shared_ptr<HttpExchange> exchange;
  RouteTablePtr table;
  const Route* route = nullptr;
  RequestDigest digest;
  bool is_suspect = false;  // It may end the searchers that run it.
  bool is_for_peer = false;
  TimePoint arrived;
  TimePoint deadline;
};

// A suspected request that waits for a slot.
struct RequestRouter::WaitingRequest {
  WaitingRequest(boost::asio::io_context& context, Arrival waiting)
      : arrival(std::move(waiting)), timer(context) {}

  Arrival arrival;
  boost::asio::steady_timer timer;
};

// State of one request from its arrival until all of its attempts have ended.
struct RequestRouter::ActiveRequest : Arrival {
  explicit ActiveRequest(Arrival arrival) : Arrival(std::move(arrival)) {}

  uint64_t number = 0;
  HeaderList headers;  // Headers forwarded to the searchers.
  std::optional<CrashSlot> slot;
  bool searcher_ended = false;         // While it had the request.
  std::vector<SearcherEntry> leaving;  // Searchers whose answers say so.
  // Searchers that got the request and did not answer.
  std::vector<RoutedSearcherPtr> unanswered;
  size_t checks = 0;  // Checks of `unanswered` that have not ended.
  std::optional<RequestPlan> plan;
  Duration registry_age{};
  bool has_ended = false;  // It no longer counts as in flight.
  size_t attempts = 0;
  size_t extra_attempts = 0;
  std::vector<AttemptRecord> attempt_records;
  std::optional<TimePoint> timer_armed_for;
};

}  // namespace greengage

#endif  // GREENGAGE_SRC_TRANSPORT_REQUEST_ROUTER_STATE_H_
