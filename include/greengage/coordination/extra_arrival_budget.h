// How many arrivals at a service beyond the first of each request one instance
// may cause.
#ifndef GREENGAGE_COORDINATION_EXTRA_ARRIVAL_BUDGET_H_
#define GREENGAGE_COORDINATION_EXTRA_ARRIVAL_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "greengage/state/time.h"

namespace greengage {

struct ExtraArrivalLimits {
  double ratio = 0;      // Of the requests in a window.
  double allowance = 0;  // Besides, in each window.
  Duration window = std::chrono::seconds(10);
};

// Bounds the extra arrivals of the window that ends now by the requests in it.
// If each instance has its share of the allowance, all of them together keep
// the whole. A window that begins between two bursts may hold more than its own
// requests allow; leave a part of the bound unused for that. Not thread-safe.
class ExtraArrivalBudget {
 public:
  explicit ExtraArrivalBudget(ExtraArrivalLimits limits) : limits_(limits) {}

  const ExtraArrivalLimits& limits() const { return limits_; }

  // What has been counted stays; a new window length forgets it.
  void set_limits(ExtraArrivalLimits limits);

  void OnRequest(TimePoint now, const std::string& service);

  // Takes one; false, without effect, if none is left, or if not so much would
  // be left as `reserve`, a share (0 to 1) of all that the window allows.
  bool TrySpend(TimePoint now, const std::string& service, double reserve = 0);

  // What TrySpend() could take now; less than 0 after the limits have sunk.
  double Left(TimePoint now, const std::string& service) const;

 private:
  // A window is counted in steps. The step that a window's beginning cuts
  // counts for the extra arrivals and not for the requests.
  static constexpr size_t kSteps = 20;

  struct Step {
    int64_t number = -1;
    uint32_t requests = 0;
    uint32_t extra = 0;
  };
  using Steps = std::array<Step, kSteps + 1>;

  struct Account {
    double allowed = 0;
    double spent = 0;
  };

  int64_t NumberAt(TimePoint now) const;
  Step& StepAt(TimePoint now, const std::string& service);
  Account AccountOf(TimePoint now, const std::string& service) const;

  ExtraArrivalLimits limits_;
  std::map<std::string, Steps, std::less<>> services_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_EXTRA_ARRIVAL_BUDGET_H_
