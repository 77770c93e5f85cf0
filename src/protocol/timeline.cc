#include "greengage/protocol/timeline.h"

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <iterator>
#include <tuple>
#include <utility>

namespace greengage {

namespace {

constexpr size_t kKindWidth = 24;     // Characters.
constexpr size_t kProcessWidth = 16;  // Characters.

bool IsBefore(const Event& left, const Event& right) {
  return std::tie(left.time, left.process) <
         std::tie(right.time, right.process);
}

std::string Padded(std::string text, size_t width) {
  text.resize(std::max(width, text.size()), ' ');
  return text;
}

std::string FormatTime(int64_t milliseconds) {
  const std::time_t seconds = milliseconds / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  const size_t length =
      std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
  std::string fraction = std::to_string(milliseconds % 1000);
  fraction.insert(0, 3 - fraction.size(), '0');
  return std::string(text, length) + "." + fraction;
}

}  // namespace

std::vector<Event> MergeEvents(std::vector<std::vector<Event>> logs) {
  std::vector<Event> merged;
  for (std::vector<Event>& log : logs) {
    std::move(log.begin(), log.end(), std::back_inserter(merged));
  }
  std::stable_sort(merged.begin(), merged.end(), IsBefore);
  return merged;
}

std::string FormatEvent(const Event& event) {
  std::string line = FormatTime(event.time.milliseconds) + "+" +
                     Padded(std::to_string(event.time.counter), 3) + " " +
                     Padded(event.process, kProcessWidth) + " " +
                     Padded(std::string(EventKindName(event.kind)), kKindWidth);
  for (const std::string* part :
       {&event.request_id, &event.subject, &event.detail}) {
    if (!part->empty()) {
      line += " " + *part;
    }
  }
  return line;
}

}  // namespace greengage
