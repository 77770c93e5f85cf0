// Stores claims as objects of the platform.
#ifndef GREENGAGE_TRANSPORT_CLAIM_STORE_H_
#define GREENGAGE_TRANSPORT_CLAIM_STORE_H_

#include <chrono>
#include <functional>
#include <memory>

#include "greengage/transport/claim_service.h"
#include "greengage/transport/platform_client.h"

namespace greengage {

// Returns hooks that write and read claims through `platform`, each call with
// `timeout`, and that send requests with `send`.
ClaimHooks MakeClaimHooks(
    const std::shared_ptr<PlatformClient>& platform,
    std::chrono::milliseconds timeout,
    std::function<void(Query, ConfigurationPtr, std::function<void(Answer)>)>
        send);

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_CLAIM_STORE_H_
