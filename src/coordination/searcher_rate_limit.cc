#include "greengage/coordination/searcher_rate_limit.h"

#include <chrono>
#include <utility>

namespace greengage {
namespace {

constexpr Duration kReportInterval = std::chrono::seconds(4);

}  // namespace

std::optional<RateLimitReport> SearcherRateLimit::TakeReport(TimePoint now) {
  const bool changed = limit_ != reported_limit_;
  if (!changed && (!limit_ || now - reported_at_ < kReportInterval)) {
    return std::nullopt;
  }
  reported_limit_ = limit_;
  return RateLimitReport{limit_, std::exchange(sent_, 0),
                         now - std::exchange(reported_at_, now)};
}

}  // namespace greengage
