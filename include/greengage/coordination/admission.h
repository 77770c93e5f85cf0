// Admission control for the queries of an entry instance.
#ifndef GREENGAGE_COORDINATION_ADMISSION_H_
#define GREENGAGE_COORDINATION_ADMISSION_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "greengage/coordination/latency_window.h"
#include "greengage/state/query.h"
#include "greengage/state/rank.h"
#include "greengage/state/time.h"

namespace greengage {

struct AdmissionOptions {
  // A query is admitted while its predicted duration is below this fraction of
  // the time left until its deadline.
  double deadline_fraction = 0.5;
  size_t min_in_flight = 8;  // Always admitted, per service and rank.
  // The limit is reduced when owners reject more than this fraction of the
  // sub-requests.
  double max_rejected_ratio = 0.01;
};

struct AdmissionRejection {
  Refusal refusal = Refusal::kOverloaded;
  Duration retry_after{};
};

// Limits the queries in flight, per service and rank, to the number that can
// complete before their deadlines. By Little's law, the expected duration of
// one more query is the number in flight divided by the completion rate.
// Rejections by owners reduce the limit. Thread-safe.
class Admission {
 public:
  explicit Admission(AdmissionOptions options);

  // Admits or rejects a query, without waiting. OnEnded() must be called once
  // for each admitted query.
  std::optional<AdmissionRejection> Admit(TimePoint now, const Query& query);

  // Must be called when the answer of an admitted query is sent.
  void OnEnded(TimePoint now, const Query& query, const Answer& answer);

  // Adjusts the limit by an owner's answer to a sub-request.
  void OnSubAnswer(TimePoint now,
                   const std::string& service,
                   Rank rank,
                   const SubAnswer& answer);

  size_t in_flight(const std::string& service, Rank rank) const;

 private:
  static constexpr size_t kSlices = 8;

  struct RankState {
    size_t in_flight = 0;
    int64_t slice = 0;                      // Index of the current slice.
    std::array<uint32_t, kSlices> ended{};  // Queries ended per slice.
    uint32_t sub_answers = 0;               // In the current slice.
    uint32_t rejected = 0;                  // Of these, due to overload.
    // Multiplies the limit: decreased by rejections, recovers without them.
    double limit_factor = 1;
  };

  void AdvanceWindow(TimePoint now, RankState& state) const;
  double RatePerSecond(const RankState& state) const;
  RankState& StateOf(const std::string& service, Rank rank);

  const AdmissionOptions options_;
  mutable std::mutex mutex_;
  std::map<std::string, std::array<RankState, kRankCount>, std::less<>> states_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_ADMISSION_H_
