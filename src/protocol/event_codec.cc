#include "greengage/protocol/event_codec.h"

#include <boost/json.hpp>

#include <optional>

#include "protocol/json_reader.h"

namespace greengage {
namespace json = boost::json;

namespace {

std::optional<EventKind> ParseEventKind(std::string_view name) {
  for (const EventKind kind : AllEventKinds()) {
    if (EventKindName(kind) == name) {
      return kind;
    }
  }
  return std::nullopt;
}

std::optional<Event> ReadEvent(const json::object& object) {
  const auto kind = ParseEventKind(ReadText(object, "kind").value_or(""));
  if (!kind) {
    return std::nullopt;
  }
  Event event;
  event.kind = *kind;
  event.time.milliseconds =
      static_cast<int64_t>(ReadUnsigned(object, "ms").value_or(0));
  event.time.counter =
      static_cast<uint32_t>(ReadUnsigned(object, "counter").value_or(0));
  event.process = ReadText(object, "process").value_or("");
  event.request_id = ReadText(object, "request_id").value_or("");
  event.subject = ReadText(object, "subject").value_or("");
  event.detail = ReadText(object, "detail").value_or("");
  return event;
}

json::object ToJson(const Event& event) {
  return {{"ms", event.time.milliseconds},
          {"counter", event.time.counter},
          {"kind", EventKindName(event.kind)},
          {"process", event.process},
          {"request_id", event.request_id},
          {"subject", event.subject},
          {"detail", event.detail}};
}

}  // namespace

std::string SerializeEvent(const Event& event) {
  return json::serialize(ToJson(event));
}

std::string SerializeEvents(const std::vector<Event>& events) {
  json::array array;
  array.reserve(events.size());
  for (const Event& event : events) {
    array.push_back(ToJson(event));
  }
  return json::serialize(json::object{{"events", std::move(array)}});
}

Result<std::vector<Event>> ParseEvents(std::string_view text) {
  const Failure failure{FailureKind::kInvalidSyntax, "events",
                        "expected {\"events\": […]}"};
  boost::system::error_code error;
  const json::value value =
      json::parse(json::string_view(text.data(), text.size()), error);
  if (error || !value.is_object()) {
    return failure;
  }
  const json::value* array = value.get_object().if_contains("events");
  if (!array || !array->is_array()) {
    return failure;
  }
  std::vector<Event> events;
  for (const json::value& element : array->get_array()) {
    if (!element.is_object()) {
      return failure;
    }
    if (std::optional<Event> event = ReadEvent(element.get_object())) {
      events.push_back(std::move(*event));
    }
  }
  return events;
}

}  // namespace greengage
