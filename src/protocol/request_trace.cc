#include "greengage/protocol/request_trace.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "greengage/state/searcher_answer.h"
#include "protocol/json_reader.h"

namespace greengage {
namespace {

namespace json = boost::json;

// Age limit of the events in a trace's context. An older event already affected
// earlier requests.
constexpr std::chrono::milliseconds kContextWindow{5000};

std::optional<LogRecord> ParseLine(std::string_view line) {
  boost::system::error_code error;
  json::value value =
      json::parse(json::string_view(line.data(), line.size()), error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  json::object& object = value.get_object();
  const auto name = ReadText(object, "event");
  const auto event = name ? FindDecisionEvent(*name) : std::nullopt;
  if (!event) {
    return std::nullopt;
  }
  LogRecord record;
  record.event = *event;
  record.time = std::chrono::milliseconds(
      static_cast<int64_t>(ReadUnsigned(object, "time_ms").value_or(0)));
  record.process = ReadText(object, "process").value_or("");
  record.request_id = ReadText(object, "request_id").value_or("");
  record.fields = std::move(object);
  for (const char* const known :
       {"event", "time_ms", "process", "request_id", "level"}) {
    record.fields.erase(known);
  }
  return record;
}

std::string_view TextOf(const LogRecord& record, std::string_view name) {
  return ReadText(record.fields, name).value_or("");
}

double NumberOf(const LogRecord& record, std::string_view name) {
  return ReadDouble(record.fields, name).value_or(0);
}

RequestCause CauseOfRefusal(const LogRecord& record) {
  const std::string_view kind = TextOf(record, "cause");
  if (kind == "not_found") {
    return RequestCause::kNoRoute;
  }
  if (kind == "unavailable") {
    return RequestCause::kNoConfiguration;
  }
  if (kind == "shutting_down") {
    return RequestCause::kInstanceStopping;
  }
  if (kind == "overloaded") {
    return RequestCause::kInstanceFull;
  }
  return RequestCause::kInvalidRequest;
}

// `trouble` is the most frequent outcome of the attempts without an answer.
RequestCause CauseOfAttemptOutcome(std::string_view trouble) {
  if (trouble == kNoSearcherTrouble ||
      trouble == AttemptEndName(AttemptEnd::kWithheld)) {
    return RequestCause::kNoSearcher;
  }
  if (trouble == kShardsNotAnsweringTrouble) {
    return RequestCause::kShardsNotAnswering;
  }
  if (trouble == AttemptEndName(AttemptEnd::kRejected)) {
    return RequestCause::kRejected;
  }
  if (trouble == AttemptEndName(AttemptEnd::kFailed)) {
    return RequestCause::kSearcherFailed;
  }
  if (trouble == AttemptEndName(AttemptEnd::kLost) ||
      trouble == AttemptEndName(AttemptEnd::kNotSent) ||
      trouble == AttemptEndName(AttemptEnd::kMisdirected)) {
    return RequestCause::kConnectionLost;
  }
  return RequestCause::kSearcherSlow;
}

RequestCause CauseOfOutcome(const LogRecord& ended) {
  if (TextOf(ended, "end") == "caller_left") {
    return RequestCause::kCallerLeft;
  }
  const bool late = NumberOf(ended, "took_ms") > NumberOf(ended, "target_ms");
  if (TextOf(ended, "cause").empty() && !late) {
    return RequestCause::kNone;
  }
  return CauseOfAttemptOutcome(TextOf(ended, "trouble"));
}

std::string Summarize(RequestCause cause, const LogRecord& last) {
  std::string summary(RequestCauseName(cause));
  if (last.event == DecisionEvent::kRequestRefused) {
    return summary + ": " + std::string(TextOf(last, "detail"));
  }
  std::array<char, 160> text{};
  std::snprintf(text.data(), text.size(),
                ": ended %s with status %.0f after %.0f ms (target %.0f ms), "
                "%.0f parts missing, %.0f extra attempts",
                std::string(TextOf(last, "end")).c_str(),
                NumberOf(last, "status"), NumberOf(last, "took_ms"),
                NumberOf(last, "target_ms"), NumberOf(last, "missing_parts"),
                NumberOf(last, "extra_attempts"));
  return summary + text.data();
}

void DeriveCause(RequestTrace& trace) {
  for (const LogRecord& record : trace.records) {
    if (record.event == DecisionEvent::kRequestRefused) {
      trace.cause = CauseOfRefusal(record);
    } else if (record.event == DecisionEvent::kRequestEnded) {
      trace.cause = CauseOfOutcome(record);
    } else {
      continue;
    }
    trace.summary = Summarize(trace.cause, record);
    return;
  }
  trace.summary =
      "the end of the request was not logged, or its log line was dropped";
}

std::string FormatTime(std::chrono::milliseconds time) {
  constexpr int64_t kDayMs = 86400000;
  const int64_t in_day = time.count() % kDayMs;
  std::array<char, 32> text{};
  std::snprintf(
      text.data(), text.size(), "%02d:%02d:%02d.%03d",
      static_cast<int>(in_day / 3600000), static_cast<int>(in_day / 60000 % 60),
      static_cast<int>(in_day / 1000 % 60), static_cast<int>(in_day % 1000));
  return text.data();
}

json::object ToJson(const LogRecord& record) {
  json::object object = record.fields;
  object["event"] = InfoOf(record.event).name;
  object["time_ms"] = record.time.count();
  object["process"] = record.process;
  return object;
}

json::array ToJson(const std::vector<LogRecord>& records) {
  json::array array;
  for (const LogRecord& record : records) {
    array.push_back(ToJson(record));
  }
  return array;
}

Event EventOf(EventKind kind,
              std::chrono::milliseconds time,
              std::string_view lane,
              const LogRecord& record) {
  Event event;
  event.time.milliseconds = time.count();
  event.kind = kind;
  event.process = lane;
  event.request_id = record.request_id;
  event.subject = TextOf(record, "end");
  event.detail = TextOf(record, "detail");
  return event;
}

std::chrono::milliseconds Offset(const LogRecord& record,
                                 std::string_view name) {
  return std::chrono::milliseconds(
      static_cast<int64_t>(NumberOf(record, name)));
}

bool IsEarlier(const LogRecord& a, const LogRecord& b) {
  return a.time < b.time;
}

}  // namespace

std::string_view RequestCauseName(RequestCause cause) {
  switch (cause) {
    case RequestCause::kNone:
      return "none";
    case RequestCause::kInvalidRequest:
      return "invalid_request";
    case RequestCause::kNoRoute:
      return "no_route";
    case RequestCause::kNoConfiguration:
      return "no_configuration";
    case RequestCause::kInstanceStopping:
      return "instance_stopping";
    case RequestCause::kInstanceFull:
      return "instance_full";
    case RequestCause::kNoSearcher:
      return "no_searcher";
    case RequestCause::kShardsNotAnswering:
      return "shards_not_answering";
    case RequestCause::kRejected:
      return "turned_away";
    case RequestCause::kSearcherFailed:
      return "searcher_failed";
    case RequestCause::kConnectionLost:
      return "connection_lost";
    case RequestCause::kSearcherSlow:
      return "searcher_slow";
    case RequestCause::kCallerLeft:
      return "caller_left";
    case RequestCause::kUnknown:
      return "unknown";
  }
  return "unknown";
}

void TraceCollector::Add(std::string_view line) {
  ++lines_;
  std::optional<LogRecord> record = ParseLine(line);
  if (!record) {
    ++unreadable_;
  } else if (record->request_id.empty()) {
    std::vector<LogRecord>& records = records_by_process_[record->process];
    records.push_back(*std::move(record));
  } else {
    std::vector<LogRecord>& records = records_by_request_[record->request_id];
    records.push_back(*std::move(record));
  }
}

std::optional<RequestTrace> TraceCollector::Explain(
    const std::string& request_id) const {
  const auto found = records_by_request_.find(request_id);
  if (found == records_by_request_.end()) {
    return std::nullopt;
  }
  RequestTrace trace;
  trace.request_id = request_id;
  trace.records = found->second;
  std::stable_sort(trace.records.begin(), trace.records.end(), IsEarlier);
  DeriveCause(trace);
  const LogRecord& last = trace.records.back();
  const auto process = records_by_process_.find(last.process);
  if (process != records_by_process_.end()) {
    for (const LogRecord& record : process->second) {
      if (record.time <= last.time &&
          last.time - record.time <= kContextWindow) {
        trace.context.push_back(record);
      }
    }
    std::stable_sort(trace.context.begin(), trace.context.end(), IsEarlier);
  }
  return trace;
}

std::vector<TraceCollector::Group> TraceCollector::Failures() const {
  std::map<RequestCause, Group> groups;
  for (const auto& [request_id, records] : records_by_request_) {
    RequestTrace trace;
    trace.records = records;
    DeriveCause(trace);
    if (trace.cause != RequestCause::kNone) {
      groups[trace.cause].cause = trace.cause;
      groups[trace.cause].request_ids.push_back(request_id);
    }
  }
  std::vector<Group> sorted;
  sorted.reserve(groups.size());
  for (auto& [cause, group] : groups) {
    sorted.push_back(std::move(group));
  }
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const Group& a, const Group& b) {
                     return a.request_ids.size() > b.request_ids.size();
                   });
  return sorted;
}

std::string FormatRecord(const LogRecord& record) {
  std::string line = FormatTime(record.time) + "  " + record.process + "  " +
                     std::string(InfoOf(record.event).name);
  for (const auto& field : record.fields) {
    const json::value& value = field.value();
    line += "  " + std::string(field.key()) + "=";
    line += value.is_string() ? std::string(value.get_string())
                              : json::serialize(value);
  }
  return line;
}

std::vector<Event> TraceEvents(const RequestTrace& trace) {
  std::vector<Event> events;
  std::chrono::milliseconds arrived{};
  for (const LogRecord& record : trace.records) {
    if (record.event == DecisionEvent::kRequestEnded) {
      arrived = record.time - Offset(record, "took_ms");
      events.push_back(
          EventOf(EventKind::kQueryAdmitted, arrived, record.process, record));
      events.push_back(EventOf(EventKind::kQueryAnswered, record.time,
                               record.process, record));
    } else if (record.event == DecisionEvent::kRequestRefused) {
      events.push_back(EventOf(EventKind::kQueryRefused, record.time,
                               record.process, record));
    }
  }
  for (const LogRecord& record : trace.records) {
    if (record.event != DecisionEvent::kAttempt) {
      continue;
    }
    const std::string_view lane = TextOf(record, "searcher");
    events.push_back(EventOf(EventKind::kSubRequestSent,
                             arrived + Offset(record, "sent_ms"), lane,
                             record));
    if (TextOf(record, "end") != "open") {
      events.push_back(EventOf(EventKind::kSubRequestEnded,
                               arrived + Offset(record, "ended_ms"), lane,
                               record));
    }
  }
  std::stable_sort(
      events.begin(), events.end(),
      [](const Event& a, const Event& b) { return a.time < b.time; });
  return events;
}

json::object ToJson(const RequestTrace& trace) {
  return json::object{{"request_id", trace.request_id},
                      {"cause", RequestCauseName(trace.cause)},
                      {"summary", trace.summary},
                      {"records", ToJson(trace.records)},
                      {"context", ToJson(trace.context)}};
}

}  // namespace greengage
