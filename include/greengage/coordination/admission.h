// Which queries an entry instance takes in.
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
  // A query is admitted while its predicted time is below this share of the
  // time that it has left.
  double deadline_fraction = 0.5;
  size_t min_in_flight = 8;  // Always admitted, for each service and rank.
  // Refusals by owners above this share of the sub-requests cut the limit.
  double max_rejected_ratio = 0.01;
};

struct AdmissionRejection {
  Refusal refusal = Refusal::kOverloaded;
  Duration retry_after{};
};

// Keeps the number of queries in flight, for each service and rank, at what
// completes within the time that they have: by Little's law, the time of one
// more query is the number in flight over the rate at which they end. Owners
// that refuse work reduce the limit. Refusals are immediate. Thread-safe.
class Admission {
 public:
  explicit Admission(AdmissionOptions options);

  // Admits a query, which must then be ended by OnEnded(), or refuses it.
  std::optional<AdmissionRejection> Admit(TimePoint now, const Query& query);

  // The answer of an admitted query goes out.
  void OnEnded(TimePoint now, const Query& query, const Answer& answer);

  // Takes in what an owner says with a sub-answer.
  void OnSubAnswer(TimePoint now,
                   const std::string& service,
                   Rank rank,
                   const SubAnswer& answer);

  size_t in_flight(const std::string& service, Rank rank) const;

 private:
  static constexpr size_t kSlices = 8;

  struct Line {
    size_t in_flight = 0;
    int64_t slice = 0;                      // Number of the present slice.
    std::array<uint32_t, kSlices> ended{};  // Queries ended, by slice.
    uint32_t answers = 0;                   // Sub-answers in this slice.
    uint32_t refused = 0;                   // Those refused for overload.
    double factor = 1;                      // Cut by refusals, grows back.
  };

  void Advance(TimePoint now, Line& line) const;
  double RatePerSecond(const Line& line) const;
  Line& LineOf(const std::string& service, Rank rank);

  const AdmissionOptions options_;
  mutable std::mutex mutex_;
  std::map<std::string, std::array<Line, kRankCount>, std::less<>> lines_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_ADMISSION_H_
