// The messages of POST /search, as specified in docs/PROTOCOLS.md.
#ifndef STANDINS_SEARCHER_SEARCH_MESSAGE_H_
#define STANDINS_SEARCHER_SEARCH_MESSAGE_H_

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/state/key_range.h"
#include "greengage/state/query.h"
#include "greengage/state/result.h"
#include "greengage/state/time.h"
#include "greengage/transport/http_message.h"

namespace greengage::standins {

struct SearchRequest {
  std::string request_id;
  uint64_t sub_request_id = 0;
  std::string service;
  KeyRange range;
  uint64_t index_version = 0;  // 0 requests the newest version.
  bool idempotent = true;
  size_t limit = 20;
  TimePoint deadline;
  std::string text;
};

// Fails with kInvalidSyntax or kMissingKey.
Result<SearchRequest> ParseSearchRequest(std::string_view body, TimePoint now);

// Returns the answer with the `hits` that were found in `range`.
HttpResponse FoundResponse(const SearchRequest& request,
                           const KeyRange& range,
                           uint64_t index_version,
                           const std::vector<Hit>& hits,
                           const boost::json::object& load);

// Returns the answer that proves that `request` did not run.
HttpResponse NotRunResponse(const SearchRequest& request,
                            std::string_view reason,
                            const boost::json::object& load);

}  // namespace greengage::standins

#endif  // STANDINS_SEARCHER_SEARCH_MESSAGE_H_
