// Reconstructs the trace of a request from the log lines of instances.
#ifndef GREENGAGE_PROTOCOL_REQUEST_TRACE_H_
#define GREENGAGE_PROTOCOL_REQUEST_TRACE_H_

#include <boost/json.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/state/decision_event.h"
#include "greengage/state/event_log.h"

namespace greengage {

// One log line. `time` is the wall-clock time of the process that wrote it, as
// time since the epoch.
struct LogRecord {
  DecisionEvent event = DecisionEvent::kRequestEnded;
  std::chrono::milliseconds time{};
  std::string process;
  std::string request_id;  // Empty if the event belongs to no single request.
  boost::json::object fields;
};

// Reason why a request got no complete answer in time.
enum class RequestCause : uint8_t {
  kNone,                // The request got a complete answer in time.
  kInvalidRequest,      // It had no id or was malformed.
  kNoRoute,             // The active configuration has no route for it.
  kNoConfiguration,     // The instance had no configuration yet.
  kInstanceStopping,    // The instance was shutting down.
  kInstanceFull,        // The instance had too many requests in flight.
  kNoSearcher,          // A service had no usable searcher.
  kShardsNotAnswering,  // It was rejected because the searchers of required
                        // shards were unresponsive or overloaded.
  kRejected,            // The searchers were at capacity.
  kSearcherFailed,      // Searchers answered with errors.
  kConnectionLost,      // Connections were lost or could not be opened.
  kSearcherSlow,        // Searchers answered too late.
  kCallerLeft,          // The caller closed its connection.
  kUnknown,             // The log lines do not show the reason.
};

// Returns the name in snake_case.
std::string_view RequestCauseName(RequestCause cause);

// The log lines of one request, oldest first, and the cause derived from them.
struct RequestTrace {
  std::string request_id;
  std::vector<LogRecord> records;
  RequestCause cause = RequestCause::kUnknown;
  std::string summary;  // One human-readable line.
  // Events of the request's instance in the seconds before its end that belong
  // to no single request.
  std::vector<LogRecord> context;
};

// Collects log lines of any number of processes, in any order. Not
// thread-safe.
class TraceCollector {
 public:
  // Lines that are not JSON objects of a known event only count as unreadable.
  void Add(std::string_view line);

  size_t lines() const { return lines_; }
  size_t unreadable() const { return unreadable_; }

  // Returns nothing if no line has this request id.
  std::optional<RequestTrace> Explain(const std::string& request_id) const;

  // Requests without a complete answer in time, grouped by cause.
  struct Group {
    RequestCause cause = RequestCause::kUnknown;
    std::vector<std::string> request_ids;
  };
  // Returns the groups in descending order of size.
  std::vector<Group> Failures() const;

 private:
  size_t lines_ = 0;
  size_t unreadable_ = 0;
  std::map<std::string, std::vector<LogRecord>> records_by_request_;
  // Records without a request id.
  std::map<std::string, std::vector<LogRecord>> records_by_process_;
};

// Returns one human-readable line with time, process, event and fields.
std::string FormatRecord(const LogRecord& record);

boost::json::object ToJson(const RequestTrace& trace);

// Converts a trace into events for TimelineSvg(), ordered by time. The request
// is in the lane of its instance, and each logged attempt in the lane of its
// searcher.
std::vector<Event> TraceEvents(const RequestTrace& trace);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_REQUEST_TRACE_H_
