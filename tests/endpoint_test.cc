#include "greengage/state/endpoint.h"

#include <criterion/criterion.h>

namespace greengage {

Test(Endpoint, ParsesFormattedEndpoints) {
  for (const char* text : {"127.0.0.1:8080", "[::1]:9", "10.0.0.1:65535"}) {
    const Result<Endpoint> endpoint = ParseEndpoint(text);
    cr_assert(endpoint.ok());
    cr_assert(ToString(*endpoint) == text);
  }
}

Test(Endpoint, RejectsHostNamesAndInvalidPorts) {
  for (const char* text : {"", "127.0.0.1", "localhost:80", "127.0.0.1:65536",
                           "127.0.0.1:8x", "127.0.0.1:"}) {
    const Result<Endpoint> endpoint = ParseEndpoint(text);
    cr_assert(!endpoint.ok());
    cr_assert(endpoint.last_reason().kind == FailureKind::kInvalidArgument);
  }
}

}  // namespace greengage
