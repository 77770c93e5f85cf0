// The upstreams' JSON: sub-requests out, sub-answers in.
#ifndef GREENGAGE_PROTOCOL_SEARCHER_CODEC_H_
#define GREENGAGE_PROTOCOL_SEARCHER_CODEC_H_

#include <string>
#include <string_view>

#include "greengage/state/query.h"
#include "greengage/state/result.h"
#include "greengage/state/time.h"

namespace greengage {

// The body of POST /search; the time left is counted from `now`.
std::string SerializeSearch(const SubRequest& request, TimePoint now);

// The body of POST /cancel.
std::string SerializeCancel(const SubRequest& request);

// Reads the answer to `request` from a response with HTTP `status`. An answer
// that names another request, or is outside the protocol, becomes kUnknown
// with kMalformedAnswer; only a typed refusal becomes kNotRun.
SubAnswer ParseSearchAnswer(const SubRequest& request,
                            unsigned status,
                            std::string_view body);

// An answer to `request` that carries no hits, for failures on the way.
SubAnswer FailedSubAnswer(const SubRequest& request,
                          Outcome outcome,
                          Refusal refusal);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_SEARCHER_CODEC_H_
