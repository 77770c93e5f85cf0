#include "greengage/coordination/claim.h"

#include <charconv>

namespace greengage {

namespace {

// 13 digits suffice until the year 2286; larger values could overflow a
// WallTime.
constexpr size_t kMaxTimeDigits = 13;

Failure InvalidId(std::string_view id) {
  return {FailureKind::kInvalidArgument, "request_id",
          "must be MILLISECONDS-SUFFIX, was '" + std::string(id) + "'"};
}

}  // namespace

std::string_view ClaimStateName(ClaimState state) {
  switch (state) {
    case ClaimState::kClaimed:
      return "claimed";
    case ClaimState::kAnswered:
      return "answered";
    case ClaimState::kNotRun:
      return "not_run";
  }
  return "unnamed";
}

Result<WallTime> RequestIdTime(std::string_view request_id) {
  const size_t dash = request_id.find('-');
  const bool well_formed = dash != std::string_view::npos && dash > 0 &&
                           dash <= kMaxTimeDigits &&
                           dash + 1 < request_id.size();
  if (!well_formed) {
    return InvalidId(request_id);
  }
  uint64_t milliseconds = 0;
  const char* const end = request_id.data() + dash;
  const auto [parsed_end, error] =
      std::from_chars(request_id.data(), end, milliseconds);
  if (error != std::errc() || parsed_end != end) {
    return InvalidId(request_id);
  }
  return FromEpoch(std::chrono::milliseconds(milliseconds));
}

RequestAge ClassifyRequestAge(WallTime request_time,
                              const ClaimLimits& limits,
                              WallTime now) {
  if (request_time - now > limits.clock_skew) {
    return RequestAge::kInFuture;
  }
  if (now - request_time > limits.retention - limits.clock_skew) {
    return RequestAge::kExpired;
  }
  return RequestAge::kAccepted;
}

bool ClaimMayBeDeleted(WallTime request_time,
                       const ClaimLimits& limits,
                       WallTime now) {
  return now - request_time > limits.retention + limits.clock_skew;
}

std::string ClaimName(std::string_view service, std::string_view request_id) {
  return std::string(service) + "." + std::string(request_id);
}

Result<WallTime> ClaimNameTime(std::string_view claim_name) {
  // Service names and suffixes may contain dots. The request id starts after
  // the first dot that is followed by digits and a dash.
  for (size_t dot = claim_name.find('.'); dot != std::string_view::npos;
       dot = claim_name.find('.', dot + 1)) {
    Result<WallTime> time = RequestIdTime(claim_name.substr(dot + 1));
    if (time) {
      return time;
    }
  }
  return InvalidId(claim_name);
}

}  // namespace greengage
