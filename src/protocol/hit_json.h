// Hits as they stand in the JSON of searchers, callers and claims.
#ifndef GREENGAGE_SRC_PROTOCOL_HIT_JSON_H_
#define GREENGAGE_SRC_PROTOCOL_HIT_JSON_H_

#include <boost/json.hpp>

#include <optional>
#include <string_view>
#include <vector>

#include "greengage/state/query.h"

namespace greengage {

// A list of {"key", "score", "text"}; nothing if the member is absent or any
// element has another form.
std::optional<std::vector<Hit>> ReadHits(const boost::json::object& object,
                                         std::string_view member);

boost::json::array HitsToJson(const std::vector<Hit>& hits);

}  // namespace greengage

#endif  // GREENGAGE_SRC_PROTOCOL_HIT_JSON_H_
