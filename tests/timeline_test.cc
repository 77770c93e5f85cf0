#include "greengage/protocol/timeline.h"

#include <algorithm>

#include "greengage/protocol/event_codec.h"
#include "greengage/protocol/ini_difference.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

Event MakeEvent(int64_t milliseconds, uint32_t counter, const char* process) {
  Event event;
  event.time = {milliseconds, counter};
  event.kind = EventKind::kQueryAdmitted;
  event.process = process;
  return event;
}

size_t Count(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

Test(Timeline, MergesByHybridTimeThenProcess) {
  const std::vector<Event> merged = MergeEvents(
      {{MakeEvent(5, 0, "b"), MakeEvent(7, 2, "b")},
       {MakeEvent(5, 0, "a"), MakeEvent(5, 1, "a"), MakeEvent(7, 1, "a")}});
  std::string order;
  for (const Event& event : merged) {
    order += event.process + std::to_string(event.time.milliseconds) +
             std::to_string(event.time.counter) + " ";
  }
  cr_assert(order == "a50 b50 a51 a71 b72 ", "%s", order.c_str());
}

Test(Timeline, FormatsEventOnOneLine) {
  Event event = MakeEvent(1764814254007, 3, "a-1");
  event.request_id = "r";
  event.subject = "s";
  const std::string line = FormatEvent(event);
  cr_assert(line.starts_with("2025-12-04T02:10:54.007+3   a-1 "), "%s",
            line.c_str());
  cr_assert(line.ends_with(" r s"));
  const auto read =
      ParseEvents("{\"events\": [" + SerializeEvent(event) + "]}");
  cr_assert(read && read->size() == 1 && read->front().time == event.time);
}

Test(Timeline, DrawsOneLanePerProcess) {
  std::vector<Event> events = {MakeEvent(100, 0, "a"), MakeEvent(150, 0, "<b>"),
                               MakeEvent(200, 0, "a")};
  const std::string svg = TimelineSvg(events);
  cr_assert(Count(svg, "<line ") == 2);
  cr_assert(Count(svg, "<circle ") == 3);
  cr_assert(Count(svg, "100 ms") == 1);
  cr_assert(Count(svg, "<b>") == 0);
  cr_assert(Count(TimelineSvg({}), "<circle ") == 0);
}

Test(IniDifference, ReportsAddedRemovedAndChangedKeys) {
  const auto before =
      IniDocument::Parse("[a]\nx = 1\ny = 2\n[b]\nz = 3\n", "f");
  const auto after = IniDocument::Parse("[c]\nw = 4\n[a]\ny = 5\nx = 1\n", "f");
  const std::vector<IniDifference> differences = Compare(*before, *after);
  cr_assert(differences.size() == 3);
  cr_assert(differences[0].key == "y" && differences[0].before == "2" &&
            differences[0].after == "5");
  cr_assert(differences[1].section == "b" && !differences[1].after);
  cr_assert(differences[2].section == "c" && !differences[2].before);
  cr_assert(Compare(*after, *after).empty());
}

}  // namespace greengage
