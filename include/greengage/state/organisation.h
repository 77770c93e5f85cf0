// Organisations, on whose behalf callers send requests.
#ifndef GREENGAGE_STATE_ORGANISATION_H_
#define GREENGAGE_STATE_ORGANISATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "greengage/state/key_digest.h"

namespace greengage {

// The requests that an organisation may send, over all instances together.
struct RequestQuota {
  double rate = 0;   // Requests per second. Zero means no limit.
  double burst = 0;  // Requests beyond the rate after a pause.

  bool is_limited() const { return rate > 0; }
  bool operator==(const RequestQuota&) const = default;
};

struct Organisation {
  std::string name;
  // Goes before the priority of the route. 0 is the most urgent.
  std::optional<uint32_t> priority;
  RequestQuota quota;
  // Regions whose searchers may serve its requests. Empty means any.
  std::vector<std::string> allowed_regions;
  std::vector<KeyDigest> keys;
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_ORGANISATION_H_
