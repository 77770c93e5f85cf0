// Configuration texts passed from instance to instance.
#ifndef GREENGAGE_SRC_TRANSPORT_CONFIGURATION_FETCH_H_
#define GREENGAGE_SRC_TRANSPORT_CONFIGURATION_FETCH_H_

#include <optional>
#include <string>

#include "greengage/state/hybrid_clock.h"
#include "greengage/state/result.h"
#include "greengage/transport/configuration_service.h"
#include "greengage/transport/peer_link.h"

namespace greengage {

// Asks the instance behind `link` for a version above `have_version`. Fails
// with kUnavailable or kMalformedMessage.
void FetchConfiguration(PeerClient& link,
                        uint64_t have_version,
                        HybridClock& clock,
                        ConfigurationService::TextCallback done);

// Answers such a request; nothing where `text` is no higher version.
std::optional<std::string> ServeConfiguration(
    const std::string& request,
    const std::optional<ConfigurationText>& text,
    HybridClock& clock);

}  // namespace greengage

#endif  // GREENGAGE_SRC_TRANSPORT_CONFIGURATION_FETCH_H_
