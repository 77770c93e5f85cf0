// Decides whether a caller may use a route, and on whose behalf.
#ifndef GREENGAGE_COORDINATION_CALLER_ACCESS_H_
#define GREENGAGE_COORDINATION_CALLER_ACCESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "greengage/state/key_digest.h"
#include "greengage/state/route_table.h"

namespace greengage {

enum class AccessVerdict : uint8_t {
  kAllowed,
  kNoKey,       // The route is not public, and there is no readable key.
  kUnknownKey,  // No organisation of the configuration has the key.
  kNoRegion,    // Route and organisation have no region in common.
};

// Name in snake_case, for logs and metrics.
std::string_view AccessVerdictName(AccessVerdict verdict);

struct CallerAccess {
  AccessVerdict verdict = AccessVerdict::kAllowed;
  // Null if the caller belongs to none, as with a public route. The table owns
  // it.
  const Organisation* organisation = nullptr;
};

// Returns the digest of the key in `authorization`, the value of a request's
// only Authorization header. Returns nothing if the request has none or
// several, or if it is not of `scheme`, the name before the key.
std::optional<KeyDigest> KeyOfCaller(
    std::string_view scheme,
    const std::optional<std::string>& authorization);

// Decides about a request of a caller with `key`. Without organisations in the
// table, everything is allowed. An unknown key is ignored on a public route.
CallerAccess DecideAccess(const RouteTable& table,
                          const Route& route,
                          const std::optional<KeyDigest>& key);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_CALLER_ACCESS_H_
