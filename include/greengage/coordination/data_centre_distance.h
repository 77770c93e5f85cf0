// How much longer answers take from each data centre.
#ifndef GREENGAGE_COORDINATION_DATA_CENTRE_DISTANCE_H_
#define GREENGAGE_COORDINATION_DATA_CENTRE_DISTANCE_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "greengage/state/time.h"

namespace greengage {

// Learned from the shortest recent answers. Not thread-safe.
class DataCentreDistance {
 public:
  explicit DataCentreDistance(std::string own) : own_(std::move(own)) {}

  void Record(TimePoint now, const std::string& data_centre, Duration latency);

  // The time that the way costs, beyond that to the nearest data centre.
  Duration Of(const std::string& data_centre) const;

 private:
  struct Shortest {
    TimePoint since;
    std::optional<Duration> now;
    std::optional<Duration> before;
  };

  static std::optional<Duration> Value(const Shortest& shortest);

  const std::string own_;
  std::map<std::string, Shortest> shortest_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_DATA_CENTRE_DISTANCE_H_
