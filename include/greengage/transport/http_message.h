// Plain HTTP messages, free of the library that carries them.
#ifndef GREENGAGE_TRANSPORT_HTTP_MESSAGE_H_
#define GREENGAGE_TRANSPORT_HTTP_MESSAGE_H_

#include <map>
#include <string>

#include "greengage/protocol/header_list.h"

namespace greengage {

// A request as a server sees it. `path` excludes the query string, whose
// decoded parameters are in `parameters`.
struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> parameters;
  std::string target;  // Path and query string as they were sent.
  HeaderList headers;
  std::string body;
};

// An answer. Content-Length and Connection are set by the transport; an empty
// content type is left out.
struct HttpResponse {
  unsigned status = 200;
  std::string content_type = "application/json";
  HeaderList headers;
  std::string body;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_HTTP_MESSAGE_H_
