#include "greengage/state/decision_event.h"

#include <algorithm>
#include <cstddef>

namespace greengage {

const std::vector<DecisionEventInfo>& AllDecisionEvents() {
  using enum DecisionEvent;
  static const std::vector<DecisionEventInfo> events{
      {kInstanceStarted, "instance_started", LogLevel::kInfo,
       "version, data_centre", "The process listens."},
      {kInstanceStopping, "instance_stopping", LogLevel::kInfo, "in_flight",
       "A graceful stop begins; the balancer is told."},
      {kRequestsEndedByStop, "requests_ended_by_stop", LogLevel::kWarning,
       "in_flight",
       "The time of the stop is over; requests in flight are answered as not "
       "run or with an error."},
      {kInstanceStopped, "instance_stopped", LogLevel::kInfo,
       "in_flight, connections, unanswered",
       "The graceful stop is over: requests in flight, open connections of "
       "callers, and requests there without a whole answer, which are cut "
       "off."},
      {kProcessEnded, "process_ended", LogLevel::kInfo, "exit_code",
       "All connections are closed; the process exits."},
      {kConnectionCut, "connection_cut", LogLevel::kWarning,
       "connection, request, state, cause",
       "A connection was closed although a request on it had no whole answer: "
       "its number in the order of acceptance, the number of the request on "
       "it, whether the request was being read, handled or answered, and why."},
      {kSettingsReloaded, "settings_reloaded", LogLevel::kInfo,
       "log_level, needs_restart",
       "SIGHUP: what can change while running is in force."},
      {kHandlerFailed, "handler_failed", LogLevel::kError, "where, detail",
       "An error of this program ended what it was doing; other requests are "
       "not affected."},
      {kInstancesCounted, "instances_counted", LogLevel::kInfo, "instances",
       "So many instances share the connections of searchers and the bound on "
       "extra arrivals."},
      {kInstanceListFailed, "roll_missed", LogLevel::kWarning,
       "call, cause, detail",
       "The instance was not entered on the roll of instances, or the roll not "
       "read; both are tried again."},
      {kRegistrationMissing, "registration_missing", LogLevel::kWarning,
       "instances",
       "The registry of instances lacks this one, as after the store was "
       "restored from a copy; it is entered again."},
      {kFeedSourceChosen, "feed_source_chosen", LogLevel::kInfo, "source",
       "The configuration and the searchers are now read from the store, or "
       "from the peer of this id."},
      {kFeedPeerFailed, "feed_peer_failed", LogLevel::kWarning,
       "peer, cause, detail",
       "A peer that reads the store could not be read; another peer or the "
       "store takes its place."},
      {kQueryForwarded, "query_forwarded", LogLevel::kInfo,
       "request_id, gatherer, configuration, status, took_ms",
       "Another instance served or rejected the request, which this one had "
       "admitted by this configuration; the other's log has the request's end "
       "and its own configuration. All that failed are logged, and one in 32 "
       "of the others."},
      {kGathererFailed, "gatherer_failed", LogLevel::kWarning,
       "request_id, gatherer, detail",
       "An instance did not serve a forwarded request; another one does."},
      {kStoreFailing, "store_lost", LogLevel::kWarning, "feed, cause, detail",
       "A call to the store failed after others had not; what was known of "
       "the feed stays in use."},
      {kChangeMissed, "change_missed", LogLevel::kWarning, "feed, revision",
       "A poll found a change that the watch of the feed had not reported; all "
       "objects are listed again."},
      {kStoreRecovered, "store_regained", LogLevel::kInfo, "feed",
       "The store answers again."},
      {kStoreRestored, "store_restored", LogLevel::kWarning,
       "feed, era, revision, known_revision",
       "The store was restored from a copy: it is at another revision than the "
       "one up to which this instance knows its changes."},
      {kConfigurationInForce, "configuration_in_force", LogLevel::kInfo,
       "configuration, revision, routes",
       "New requests follow this version's routes."},
      {kConfigurationIgnored, "configuration_ignored", LogLevel::kInfo,
       "configuration, revision, active, active_revision",
       "A configuration that was read is older than the active one."},
      {kObjectUnreadable, "object_unreadable", LogLevel::kWarning,
       "object, revision, detail",
       "An object of the store is left out because it cannot be read."},
      {kEvacuationChanged, "evacuation_changed", LogLevel::kWarning,
       "data_centre, evacuated, source",
       "The searchers of a data centre get no more requests because operators "
       "evacuate it, or get them again; and whether the store or a peer says "
       "so."},
      {kQuotaLimited, "quota_limited", LogLevel::kInfo,
       "organisation, share, retry_after_ms, level",
       "This instance keeps the ledger of an organisation and begins to limit "
       "it, or no longer does: the share of its requests that all instances "
       "admit, and the requests that its quota still allows at once."},
      {kSearcherAdded, "searcher_added", LogLevel::kInfo,
       "searcher, service, endpoint", "A searcher may get work."},
      {kSearcherLeaving, "searcher_leaving", LogLevel::kInfo,
       "searcher, service, cause",
       "A searcher gets no more work: it drains, has gone or has restarted."},
      {kSearcherLimit, "searcher_limit", LogLevel::kInfo,
       "searcher, service, limit_per_s, sent, interval_ms",
       "A searcher names a limit on the requests of all instances together, or "
       "no longer does; and how many this instance sent since the last such "
       "line of the searcher."},
      {kSearchersUnreachable, "searchers_unreachable", LogLevel::kWarning, "",
       "Trial connections to searchers failed after attempts had; peers are "
       "asked to serve the requests."},
      {kSearchersReachedAgain, "searchers_reached_again", LogLevel::kInfo, "",
       "Trial connections to searchers succeeded; requests are served here."},
      {kSearcherCrashed, "searcher_crashed", LogLevel::kWarning,
       "request_id, digest, service, searcher, started_ms",
       "A searcher ended while it had this request: it closed the connection "
       "without an answer and no process listens at its address. The digest is "
       "the same for all repeats of the request."},
      {kRequestSuspected, "request_suspected", LogLevel::kWarning,
       "digest, request_id, searcher, crashes, source",
       "Another instance reported that a searcher ended while it had such a "
       "request, or this one shares its report. From three on, such requests "
       "are refused."},
      {kRequestCleared, "request_cleared", LogLevel::kInfo, "report",
       "A report that a searcher ended while it had a request is withdrawn: "
       "such a request was answered, or the report is too old."},
      {kRequestRefused, "request_refused", LogLevel::kInfo,
       "request_id, cause, subject, detail",
       "A request was refused before any searcher was asked."},
      {kAttempt, "attempt", LogLevel::kInfo,
       "request_id, attempt, reason, service, searcher, sent_ms, expected_ms, "
       "end, ended_ms, detail",
       "An attempt that was extra, slow or without an answer, of a request "
       "that is logged. Times count from the request's arrival; expected_ms is "
       "what the choice of the searcher counted on; the end \"open\" means "
       "that the request ended first. Left out while many lines are logged."},
      {kRequestEnded, "request_ended", LogLevel::kInfo,
       "request_id, route, configuration, registry_age_ms, time_left_ms, "
       "target_ms, took_ms, end, status, cause, parts, missing_parts, "
       "unlikely_parts, attempts, extra_attempts, trouble",
       "The answer to a caller. All that were not answered whole and within "
       "the target latency are logged, and one in 32 of the others. trouble is "
       "how most attempts without an answer ended: an end of an attempt, "
       "no_searcher, shards_not_answering, or none."},
      {kLogLinesDropped, "log_lines_dropped", LogLevel::kWarning, "count",
       "Lines were dropped because there were too many or their reader was "
       "slow."},
  };
  return events;
}

const DecisionEventInfo& InfoOf(DecisionEvent event) {
  return AllDecisionEvents()[static_cast<size_t>(event)];
}

bool IsLifecycleEvent(DecisionEvent event) {
  switch (event) {
    case DecisionEvent::kInstanceStarted:
    case DecisionEvent::kInstanceStopping:
    case DecisionEvent::kRequestsEndedByStop:
    case DecisionEvent::kInstanceStopped:
    case DecisionEvent::kProcessEnded:
      return true;
    default:
      return false;
  }
}

std::optional<DecisionEvent> FindDecisionEvent(std::string_view name) {
  const auto& all = AllDecisionEvents();
  const auto found =
      std::find_if(all.begin(), all.end(),
                   [name](const auto& info) { return info.name == name; });
  return found == all.end() ? std::nullopt : std::optional(found->event);
}

}  // namespace greengage
