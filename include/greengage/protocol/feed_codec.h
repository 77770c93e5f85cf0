// The encoding of the pages that instances read from each other.
#ifndef GREENGAGE_PROTOCOL_FEED_CODEC_H_
#define GREENGAGE_PROTOCOL_FEED_CODEC_H_

#include <string>
#include <string_view>

#include "greengage/coordination/feed_cache.h"
#include "greengage/state/result.h"

namespace greengage {

std::string SerializeFeedPage(const FeedPage& page);

// Fails with kMalformedMessage if `message` is not a page. An object whose
// value is invalid is returned without one, as if its entry were missing from
// the registry. Objects of unknown kinds are left out: a later version may send
// them.
Result<FeedPage> ParseFeedPage(std::string_view message);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_FEED_CODEC_H_
