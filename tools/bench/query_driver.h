// The interface by which a simulation runs one query, implemented by the policy
// and by the naive baseline.
#ifndef TOOLS_BENCH_QUERY_DRIVER_H_
#define TOOLS_BENCH_QUERY_DRIVER_H_

#include <memory>
#include <utility>

#include "greengage/coordination/query_plan.h"

namespace greengage::bench {

class QueryDriver {
 public:
  virtual ~QueryDriver() = default;
  virtual QueryActions Start(TimePoint now) = 0;
  virtual QueryActions OnSubAnswer(TimePoint now, SubAnswer answer) = 0;
  virtual QueryActions OnTimer(TimePoint now) = 0;
  virtual TimePoint next_timer() const = 0;
  virtual bool done() const = 0;
};

// Runs a QueryPlan, the class that the daemon uses.
class PolicyDriver : public QueryDriver {
 public:
  template <typename... Args>
  explicit PolicyDriver(Args&&... args) : plan_(std::forward<Args>(args)...) {}

  QueryActions Start(TimePoint now) override { return plan_.Start(now); }
  QueryActions OnSubAnswer(TimePoint now, SubAnswer answer) override {
    return plan_.OnSubAnswer(now, std::move(answer));
  }
  QueryActions OnTimer(TimePoint now) override { return plan_.OnTimer(now); }
  TimePoint next_timer() const override { return plan_.next_timer(); }
  bool done() const override { return plan_.done(); }

 private:
  QueryPlan plan_;
};

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_QUERY_DRIVER_H_
