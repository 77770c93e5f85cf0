// Converts opaque requests and answers between HTTP messages and typed values.
#ifndef GREENGAGE_PROTOCOL_ROUTED_CALL_CODEC_H_
#define GREENGAGE_PROTOCOL_ROUTED_CALL_CODEC_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/protocol/call_dialect.h"
#include "greengage/protocol/header_list.h"
#include "greengage/state/key_digest.h"
#include "greengage/state/request_digest.h"
#include "greengage/state/result.h"
#include "greengage/state/searcher_answer.h"

namespace greengage {

// Routing metadata of a caller's request, from its headers.
struct CallerRequest {
  std::string id;
  std::string host;
  std::chrono::milliseconds time_left{};   // Zero if the header is absent.
  std::optional<std::string> credentials;  // The first Authorization header.
  bool has_ambiguous_credentials = false;  // There are several.
  // Not from the headers: the digest of the key in the credentials, and the
  // name of the organisation on whose behalf the caller sends, which is empty
  // if there is none.
  std::optional<KeyDigest> key;
  std::string organisation;
};

// Fails with kMissingKey if the id or host is missing, and with kInvalidSyntax
// if the time left is not a whole number.
Result<CallerRequest> ParseCallerRequest(const CallDialect& dialect,
                                         const HeaderList& headers);

// Returns the digest of what searchers see of a request and its repeats have in
// common: method, host, target, body and the caller's organisation, or its
// credentials if it has none. The id and the time left differ in each repeat.
RequestDigest DigestOf(const CallerRequest& caller,
                       std::string_view method,
                       std::string_view target,
                       std::string_view body);

// Returns the caller's headers without hop-by-hop headers and without those
// that AttemptHeaders() sets.
HeaderList ForwardedHeaders(const CallDialect& dialect,
                            const HeaderList& headers);

// Removes the credentials, which are for this system only, and replaces what
// the caller says of its organisation. `organisation` may be empty.
void SetOrganisation(const CallDialect& dialect,
                     const std::string& organisation,
                     HeaderList& headers);

// Returns the headers of one attempt at `searcher_id`.
HeaderList AttemptHeaders(const CallDialect& dialect,
                          const HeaderList& forwarded,
                          std::chrono::milliseconds time_left,
                          const std::string& searcher_id);

// Sets the header of a call that says how long the caller will wait from now
// on.
void SetTimeLeft(const CallDialect& dialect,
                 std::chrono::milliseconds time_left,
                 HeaderList& headers);

// Returns true if the answer echoes the id of a request.
bool NamesRequest(const CallDialect& dialect, const HeaderList& headers);

// Returns true if the answer echoes an id other than `request_id`. An answer
// without an id is not a mismatch.
bool IsMismatchedAnswer(const CallDialect& dialect,
                        const HeaderList& headers,
                        std::string_view request_id);

// Interprets a complete answer of a searcher.
AttemptOutcome ParseSearcherAnswer(const CallDialect& dialect,
                                   unsigned status,
                                   const HeaderList& headers,
                                   std::string body);

// Returns the headers that list the parts of a merged answer.
HeaderList PartHeaders(const CallDialect& dialect,
                       const std::vector<SearcherAnswer>& parts,
                       size_t missing_parts);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_ROUTED_CALL_CODEC_H_
