// The names that opaque requests and their answers use on the wire.
#ifndef GREENGAGE_PROTOCOL_CALL_DIALECT_H_
#define GREENGAGE_PROTOCOL_CALL_DIALECT_H_

#include <string>

namespace greengage {

// Header names, and the path that the balancer asks. The initial values are
// the project's own.
struct CallDialect {
  // Of a caller's attempt; searchers echo it.
  std::string request_id = "Greengage-Request-Id";
  // Milliseconds that whoever sent the request still waits.
  std::string time_left = "Greengage-Time-Left-Ms";
  // Id of the searcher that is meant; another one turns the request away.
  std::string expected_searcher = "Greengage-Expected-Searcher";
  // A searcher's mark on its answer.
  std::string signature = "Greengage-Signature";
  // "running, waiting, slots" of a searcher.
  std::string load = "Greengage-Load";
  // Present if a searcher did not run the request.
  std::string not_run = "Greengage-Not-Run";
  // Signatures of the parts that an answer is made of, separated by commas.
  std::string part_signatures = "Greengage-Part-Signatures";
  // Number of shards without a part in the answer.
  std::string missing_parts = "Greengage-Missing-Parts";
  std::string ready_path = "/readyz";
};

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_CALL_DIALECT_H_
