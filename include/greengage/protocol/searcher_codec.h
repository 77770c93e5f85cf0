// Serializes sub-requests to JSON for upstreams and parses their sub-answers.
#ifndef GREENGAGE_PROTOCOL_SEARCHER_CODEC_H_
#define GREENGAGE_PROTOCOL_SEARCHER_CODEC_H_

#include <string>
#include <string_view>

#include "greengage/state/query.h"
#include "greengage/state/result.h"
#include "greengage/state/time.h"

namespace greengage {

// Returns the body of POST /search, with the deadline relative to `now`.
std::string SerializeSearch(const SubRequest& request, TimePoint now);

// Returns the body of POST /cancel.
std::string SerializeCancel(const SubRequest& request);

// Parses the response to `request`, which has HTTP `status`. A response to
// another request, or one that violates the protocol, results in kUnknown with
// kMalformedAnswer. Only a response with a typed refusal results in kNotRun.
SubAnswer ParseSearchAnswer(const SubRequest& request,
                            unsigned status,
                            std::string_view body);

// Returns an answer to `request` without hits, for failed requests.
SubAnswer FailedSubAnswer(const SubRequest& request,
                          Outcome outcome,
                          Refusal refusal);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_SEARCHER_CODEC_H_
