// Opaque requests and answers, between HTTP messages and typed values.
#ifndef GREENGAGE_PROTOCOL_ROUTED_CALL_CODEC_H_
#define GREENGAGE_PROTOCOL_ROUTED_CALL_CODEC_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/protocol/call_dialect.h"
#include "greengage/protocol/header_list.h"
#include "greengage/state/result.h"
#include "greengage/state/searcher_answer.h"

namespace greengage {

// What a caller's request says beside its bytes.
struct CallerRequest {
  std::string id;
  std::string host;
  std::chrono::milliseconds time_left{};  // Zero: not told.
};

// Fails with kMissingKey without an id or a host, and with kInvalidSyntax for
// a time that is no whole number.
Result<CallerRequest> ParseCallerRequest(const CallDialect& dialect,
                                         const HeaderList& headers);

// The caller's headers as they are passed on: without those that concern one
// connection, and without those that AttemptHeaders() sets.
HeaderList ForwardedHeaders(const CallDialect& dialect,
                            const HeaderList& headers);

// The headers of one attempt at `searcher_id`.
HeaderList AttemptHeaders(const CallDialect& dialect,
                          const HeaderList& passed_on,
                          std::chrono::milliseconds time_left,
                          const std::string& searcher_id);

// Whether an answer belongs to another request than `request_id`.
bool IsMismatchedAnswer(const CallDialect& dialect,
                        const HeaderList& headers,
                        std::string_view request_id);

// What the whole answer of a searcher means.
AttemptOutcome ParseSearcherAnswer(const CallDialect& dialect,
                                   unsigned status,
                                   const HeaderList& headers,
                                   std::string body);

// The headers that tell of which parts an answer is made.
HeaderList PartHeaders(const CallDialect& dialect,
                       const std::vector<SearcherAnswer>& parts,
                       size_t missing_parts);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_ROUTED_CALL_CODEC_H_
