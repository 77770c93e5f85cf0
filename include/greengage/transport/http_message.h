// Plain HTTP messages, free of the library that carries them.
#ifndef GREENGAGE_TRANSPORT_HTTP_MESSAGE_H_
#define GREENGAGE_TRANSPORT_HTTP_MESSAGE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace greengage {

// Names and values in the order of the message; names may repeat.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// The value of the first header `name`, whatever its case; nothing if there is
// none.
std::optional<std::string_view> FindHeader(const HttpHeaders& headers,
                                           std::string_view name);

// A request as a server sees it. `path` excludes the query string, whose
// decoded parameters are in `parameters`.
struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> parameters;
  std::string target;  // Path and query string as they were sent.
  HttpHeaders headers;
  std::string body;
};

// An answer. Content-Length and Connection are set by the transport; an empty
// content type is left out.
struct HttpResponse {
  unsigned status = 200;
  std::string content_type = "application/json";
  HttpHeaders headers;
  std::string body;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_HTTP_MESSAGE_H_
