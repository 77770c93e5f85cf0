// The story of a request, put together from the log lines of instances.
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

// One log line. `time` is the wall clock of the process that wrote it.
struct LogRecord {
  DecisionEvent event = DecisionEvent::kRequestEnded;
  std::chrono::milliseconds time{};
  std::string process;
  std::string request_id;  // Empty for what concerns no single request.
  boost::json::object fields;
};

// Why a request got no whole answer in time.
enum class RequestCause : uint8_t {
  kNone,                // It got one.
  kInvalidRequest,      // Without an id, or malformed.
  kNoRoute,             // The configuration in force has no route for it.
  kNoConfiguration,     // The instance had none yet.
  kInstanceStopping,    // A stop had gone so far that new work was refused.
  kInstanceFull,        // Too many requests at once at the instance.
  kNoSearcher,          // No searcher of a service could be used.
  kShardsNotAnswering,  // Refused: the searchers of shards that it needed were
                        // silent or overloaded.
  kRejected,           // The searchers were at capacity.
  kSearcherFailed,      // Searchers answered with failures.
  kConnectionLost,      // Connections broke, or could not be opened.
  kSearcherSlow,        // Searchers took too long.
  kCallerLeft,          // The caller closed its connection.
  kUnknown,             // The lines do not tell.
};

// Name in snake_case.
std::string_view RequestCauseName(RequestCause cause);

// The lines of one request, the oldest first, and what they add up to.
struct RequestTrace {
  std::string request_id;
  std::vector<LogRecord> records;
  RequestCause cause = RequestCause::kUnknown;
  std::string summary;  // One line for people.
  // What its instance learned or lost in the seconds before.
  std::vector<LogRecord> context;
};

// Takes lines of any number of processes in any order. Not thread-safe.
class TraceCollector {
 public:
  // Lines that are no JSON objects, or not of a known event, are counted.
  void Add(std::string_view line);

  size_t lines() const { return lines_; }
  size_t unreadable() const { return unreadable_; }

  // Empty if no line names the request.
  std::optional<RequestTrace> Explain(const std::string& request_id) const;

  // Requests without a whole answer in time, by cause; the most first.
  struct Group {
    RequestCause cause = RequestCause::kUnknown;
    std::vector<std::string> request_ids;
  };
  std::vector<Group> Failures() const;

 private:
  size_t lines_ = 0;
  size_t unreadable_ = 0;
  std::map<std::string, std::vector<LogRecord>> requests_;
  std::map<std::string, std::vector<LogRecord>> processes_;  // The rest.
};

// One line for people: time, process, event and fields.
std::string FormatRecord(const LogRecord& record);

boost::json::object ToJson(const RequestTrace& story);

// The story as events for a picture: the request in the lane of its instance,
// each logged attempt in the lane of its searcher. Ordered by time.
std::vector<Event> TraceEvents(const RequestTrace& story);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_REQUEST_TRACE_H_
