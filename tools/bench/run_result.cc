#include "tools/bench/run_result.h"

#include <algorithm>
#include <cmath>

namespace greengage::bench {

namespace {

constexpr double kPercent = 100;

}  // namespace

double RankResult::Quantile(double q) const {
  if (latencies_ms.empty()) {
    return 0;
  }
  std::vector<double> values = latencies_ms;
  const double position = std::ceil(q * static_cast<double>(values.size()));
  const size_t index = position < 1 ? 0 : static_cast<size_t>(position) - 1;
  const auto nth = values.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

double RankResult::WholeShare() const {
  const uint64_t admitted = whole + partial + failed;
  return admitted == 0
             ? 0
             : static_cast<double>(whole) / static_cast<double>(admitted);
}

RankResult RunResult::All() const {
  RankResult all;
  for (const RankResult& result : ranks) {
    all.offered += result.offered;
    all.rejected += result.rejected;
    all.whole += result.whole;
    all.completed += result.completed;
    all.partial += result.partial;
    all.failed += result.failed;
    all.latencies_ms.insert(all.latencies_ms.end(), result.latencies_ms.begin(),
                            result.latencies_ms.end());
  }
  return all;
}

double RunResult::SentPerFirst() const {
  return first_sub_requests == 0 ? 0
                                 : static_cast<double>(sent) /
                                       static_cast<double>(first_sub_requests);
}

double RunResult::ExtraPercent() const {
  return (SentPerFirst() - 1) * kPercent;
}

double RunResult::GoodputPercent() const {
  double total = 0;
  for (const Rank r : kAllRanks) {
    total += GoodputPercent(r);
  }
  return total;
}

double RunResult::GoodputPercent(Rank r) const {
  return kPercent * static_cast<double>(rank(r).completed) /
         (seconds * capacity);
}

}  // namespace greengage::bench
