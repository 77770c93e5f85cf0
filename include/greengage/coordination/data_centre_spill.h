// Decides when requests leave the data centre of an instance, and how many.
#ifndef GREENGAGE_COORDINATION_DATA_CENTRE_SPILL_H_
#define GREENGAGE_COORDINATION_DATA_CENTRE_SPILL_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "greengage/state/time.h"

namespace greengage {

// How far a searcher is from this instance.
enum class Locality : uint8_t { kDataCentre, kRegion, kElsewhere };
inline constexpr size_t kLocalities = 3;

// Name in snake_case, for metrics.
std::string_view LocalityName(Locality locality);

// Where DataCentreSpill decides; elsewhere the best estimate does.
enum class SpillMode : uint8_t {
  kOff,
  kReported,  // For services whose searchers report their work time.
  kAlways,
};

struct DataCentreSpillOptions {
  // The latency that a request must gain for it to pay to leave the data
  // centre, and to leave the region.
  Duration leaving_cost = std::chrono::milliseconds(2);
  Duration leaving_region_cost = std::chrono::milliseconds(10);
};

// The best estimated latency at each locality, distance included. Empty if it
// has no searcher to choose.
using LocalityLatencies = std::array<std::optional<Duration>, kLocalities>;

// Traffic between data centres is slower and costs money, yet the searchers of
// one data centre may be too few. The load that this answers is demand that
// moves from one data centre to the next, or floods one of them.
//
// Requests stay as long as the local searchers are expected to answer within
// the objective, and not later than others by more than the cost of leaving.
// Otherwise the share that leaves rises in steps, and it falls again in steps
// once leaving no longer pays, so that both estimates meet. Choosing the best
// estimate for each request instead would send all requests of all instances to
// the same searchers at once, back and forth, since estimates lag behind the
// load.
//
// Not thread-safe.
class DataCentreSpill {
 public:
  explicit DataCentreSpill(DataCentreSpillOptions options = {})
      : options_(options) {}

  // Returns the locality for the next request of `service`, whose objective is
  // `objective` from now on. At least one locality must have searchers.
  Locality Choose(TimePoint now,
                  const std::string& service,
                  const LocalityLatencies& latencies,
                  Duration objective);

  // Returns the share of the requests of `service` that leaves `locality`, for
  // logs and tests.
  double ShareLeaving(const std::string& service, Locality locality) const;

 private:
  // The share that leaves one locality for more distant ones.
  struct Leaving {
    double share = 0;
    double remainder = 0;  // Part of a request that the share has left over.
    std::optional<TimePoint> changed_at;
  };
  using Shares = std::array<Leaving, kLocalities>;

  static void Adjust(TimePoint now, bool pays, Leaving& leaving);

  DataCentreSpillOptions options_;
  std::map<std::string, Shares, std::less<>> services_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_DATA_CENTRE_SPILL_H_
