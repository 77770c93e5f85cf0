// Configuration texts passed from instance to instance.
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

// Asks the instance behind `link` for a version above that of `base`, the text
// held here. Where the answer is a delta that does not fit, asks once more for
// the whole text. Fails with kUnavailable or kMalformedMessage.
void FetchConfiguration(const std::shared_ptr<PeerClient>& link,
                        std::optional<ConfigurationText> base,
                        HybridClock& clock,
                        ConfigurationService::TextCallback done);

// Answers such a request with a delta where `service` still has the asker's
// version and a delta is smaller, or with the whole text; nothing where it has
// no higher version.
std::optional<std::string> ServeConfiguration(
    const std::string& request,
    const ConfigurationService& service,
    HybridClock& clock);

}  // namespace greengage

#endif  // GREENGAGE_SRC_TRANSPORT_CONFIGURATION_FETCH_H_
