// The target of a request line: a path and decoded query parameters.
#ifndef GREENGAGE_SRC_TRANSPORT_HTTP_TARGET_H_
#define GREENGAGE_SRC_TRANSPORT_HTTP_TARGET_H_

#include <string>
#include <string_view>

#include "greengage/transport/http_message.h"

namespace greengage {

// Parses `target` and sets request.path and request.parameters.
void ParseTarget(std::string_view target, HttpRequest& request);

}  // namespace greengage

#endif  // GREENGAGE_SRC_TRANSPORT_HTTP_TARGET_H_
