// HTTP messages, independent of the HTTP library.
#ifndef GREENGAGE_TRANSPORT_HTTP_MESSAGE_H_
#define GREENGAGE_TRANSPORT_HTTP_MESSAGE_H_

#include <map>
#include <string>

#include "greengage/protocol/header_list.h"

namespace greengage {

// A request received by a server. `path` excludes the query string, whose
// decoded parameters are in `parameters`.
struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> parameters;
  std::string target;  // Path and query string as received.
  HeaderList headers;
  std::string body;
};

// A response. The transport sets Content-Length and Connection. If
// `content_type` is empty, no Content-Type header is sent.
struct HttpResponse {
  unsigned status = 200;
  std::string content_type = "application/json";
  HeaderList headers;
  std::string body;
  // This system rejected the request, and no searcher has run it or will. Not
  // part of the message.
  bool not_run = false;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_HTTP_MESSAGE_H_
