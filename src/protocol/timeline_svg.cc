#include <algorithm>
#include <cstdint>
#include <map>

#include "greengage/protocol/timeline.h"

namespace greengage {

namespace {

// In pixels.
constexpr int kLabelWidth = 160;
constexpr int kPlotWidth = 1200;
constexpr int kLaneHeight = 40;
constexpr int kHeaderHeight = 30;
constexpr int kDotRadius = 4;

std::string EscapeXml(const std::string& text) {
  std::string escaped;
  for (const char character : text) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

// Returns a colour whose hue is unique to the kind, evenly spaced on the colour
// wheel.
std::string ColourOf(EventKind kind) {
  const size_t count = std::max<size_t>(AllEventKinds().size(), 1);
  const size_t hue = static_cast<size_t>(kind) * 360 / count;
  return "hsl(" + std::to_string(hue) + ",70%,45%)";
}

std::string Text(int x, int y, const std::string& text) {
  return "<text x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) +
         "\">" + EscapeXml(text) + "</text>\n";
}

class TimelineImage {
 public:
  explicit TimelineImage(const std::vector<Event>& events) : events_(events) {
    for (const Event& event : events) {
      lanes_.try_emplace(event.process, 0);
    }
    int lane = 0;
    for (auto& [process, index] : lanes_) {
      index = lane++;
    }
  }

  std::string Draw() const {
    const int height =
        kHeaderHeight + kLaneHeight * static_cast<int>(lanes_.size());
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
                      std::to_string(kLabelWidth + kPlotWidth + kDotRadius) +
                      "\" height=\"" + std::to_string(height) +
                      "\" font-family=\"sans-serif\" font-size=\"12\">\n";
    svg += Text(kLabelWidth, kHeaderHeight / 2, "0 ms");
    svg += Text(kLabelWidth + kPlotWidth - 60, kHeaderHeight / 2,
                std::to_string(Span()) + " ms");
    for (const auto& [process, lane] : lanes_) {
      svg += DrawLane(process, CentreOf(lane));
    }
    for (const Event& event : events_) {
      svg += DrawEvent(event);
    }
    return svg + "</svg>\n";
  }

 private:
  int64_t Span() const {
    return events_.empty() ? 0
                           : events_.back().time.milliseconds -
                                 events_.front().time.milliseconds;
  }

  int64_t Offset(const Event& event) const {
    return event.time.milliseconds - events_.front().time.milliseconds;
  }

  static int CentreOf(int lane) {
    return kHeaderHeight + lane * kLaneHeight + kLaneHeight / 2;
  }

  static std::string DrawLane(const std::string& process, int y) {
    const std::string at = std::to_string(y);
    return Text(4, y, process) + "<line x1=\"" + std::to_string(kLabelWidth) +
           "\" x2=\"" + std::to_string(kLabelWidth + kPlotWidth) + "\" y1=\"" +
           at + "\" y2=\"" + at + "\" stroke=\"#ccc\"/>\n";
  }

  std::string DrawEvent(const Event& event) const {
    const int64_t span = std::max<int64_t>(Span(), 1);
    const int64_t x = kLabelWidth + Offset(event) * kPlotWidth / span;
    return "<circle cx=\"" + std::to_string(x) + "\" cy=\"" +
           std::to_string(CentreOf(lanes_.at(event.process))) + "\" r=\"" +
           std::to_string(kDotRadius) + "\" fill=\"" + ColourOf(event.kind) +
           "\"><title>" + EscapeXml(FormatEvent(event)) + "</title></circle>\n";
  }

  const std::vector<Event>& events_;
  std::map<std::string, int> lanes_;
};

}  // namespace

std::string TimelineSvg(const std::vector<Event>& events) {
  return TimelineImage(events).Draw();
}

}  // namespace greengage
