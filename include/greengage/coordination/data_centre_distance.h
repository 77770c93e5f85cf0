// Estimates the extra network latency to each data centre.
#ifndef GREENGAGE_COORDINATION_DATA_CENTRE_DISTANCE_H_
#define GREENGAGE_COORDINATION_DATA_CENTRE_DISTANCE_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "greengage/state/time.h"

namespace greengage {

// Estimates are based on the lowest recent latency of each data centre. Not
// thread-safe.
class DataCentreDistance {
 public:
  explicit DataCentreDistance(std::string own) : own_(std::move(own)) {}

  void Record(TimePoint now, const std::string& data_centre, Duration latency);

  // Returns the latency to `data_centre` in excess of that to the nearest one.
  Duration Of(const std::string& data_centre) const;

 private:
  struct PeriodMinimum {
    TimePoint period_start;
    std::optional<Duration> current;
    std::optional<Duration> previous;
  };

  static std::optional<Duration> RecentMinimum(const PeriodMinimum& minimum);

  const std::string own_;
  std::map<std::string, PeriodMinimum> minimums_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_DATA_CENTRE_DISTANCE_H_
