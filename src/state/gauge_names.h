// Names and help texts of the gauges on the metrics page.
#ifndef GREENGAGE_SRC_STATE_GAUGE_NAMES_H_
#define GREENGAGE_SRC_STATE_GAUGE_NAMES_H_

#include "greengage/state/metrics.h"

namespace greengage {

inline constexpr MetricInfo kQueriesInFlight{
    "greengage_queries_in_flight", "gauge",
    "Queries without a whole set of ended sub-requests."};
inline constexpr MetricInfo kSubRequestsInFlight{
    "greengage_sub_requests_in_flight", "gauge",
    "Sub-requests queued or sent at this instance as owner."};
inline constexpr MetricInfo kSearcherConnections{
    "greengage_searcher_connections", "gauge",
    "Open connections to searchers."};
inline constexpr MetricInfo kMembers{
    "greengage_members", "gauge",
    "Instances in the member table, this one and those gone included."};
inline constexpr MetricInfo kGossipSent{
    "greengage_gossip_sent_bytes_total", "counter",
    "Bytes of membership datagrams sent, without headers of UDP and IP."};
inline constexpr MetricInfo kGossipReceived{
    "greengage_gossip_received_bytes_total", "counter",
    "Bytes of membership datagrams received, without headers of UDP and IP."};
inline constexpr MetricInfo kGossipDatagrams{
    "greengage_gossip_sent_datagrams_total", "counter",
    "Membership datagrams sent."};
inline constexpr MetricInfo kRejectedAnswers{
    "greengage_rejected_answers_total", "counter",
    "Sub-answers that came late, crossed, or did not fit."};

inline constexpr MetricInfo kHandlerFailures{
    "greengage_handler_failures_total", "counter",
    "Handlers that threw; each ended its own exchange only."};

inline constexpr MetricInfo kUnfinishedAnswerBytes{
    "greengage_unfinished_answer_bytes", "gauge",
    "Memory of large answers of searchers and peers that are not complete."};

}  // namespace greengage

#endif  // GREENGAGE_SRC_STATE_GAUGE_NAMES_H_
