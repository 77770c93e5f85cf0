// JSON conversion of hits, shared by the messages of searchers and callers and
// by claims.
#ifndef GREENGAGE_SRC_PROTOCOL_HIT_JSON_H_
#define GREENGAGE_SRC_PROTOCOL_HIT_JSON_H_

#include <boost/json.hpp>

#include <optional>
#include <string_view>
#include <vector>

#include "greengage/state/query.h"

namespace greengage {

// Reads an array of {"key", "score", "text"}. Returns nothing if the member is
// missing or any element is malformed.
std::optional<std::vector<Hit>> ReadHits(const boost::json::object& object,
                                         std::string_view member);

boost::json::array HitsToJson(const std::vector<Hit>& hits);

}  // namespace greengage

#endif  // GREENGAGE_SRC_PROTOCOL_HIT_JSON_H_
