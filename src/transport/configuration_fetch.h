// Transfers configuration texts between instances.
#ifndef GREENGAGE_SRC_TRANSPORT_CONFIGURATION_FETCH_H_
#define GREENGAGE_SRC_TRANSPORT_CONFIGURATION_FETCH_H_

#include <memory>
#include <optional>
#include <string>

#include "greengage/state/hybrid_clock.h"
#include "greengage/state/result.h"
#include "greengage/transport/configuration_service.h"
#include "greengage/transport/peer_link.h"

namespace greengage {

// Requests a version newer than `base`, the text held locally, from the peer of
// `client`. If the reply is a delta that cannot be applied to `base`, requests
// the full text once. Fails with kUnavailable or kMalformedMessage. `clock`
// must outlive the call.
void FetchConfiguration(const std::shared_ptr<PeerClient>& client,
                        std::optional<ConfigurationText> base,
                        HybridClock& clock,
                        ConfigurationService::TextCallback done);

// Returns the reply to such a request: a delta if `service` still has the
// requester's version and the delta is smaller, else the full text. Returns
// nullopt if `service` has no newer version or the request is malformed.
std::optional<std::string> ServeConfiguration(
    const std::string& request,
    const ConfigurationService& service,
    HybridClock& clock);

}  // namespace greengage

#endif  // GREENGAGE_SRC_TRANSPORT_CONFIGURATION_FETCH_H_
