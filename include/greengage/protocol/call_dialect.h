// Header names and paths of the routed-request protocol.
#ifndef GREENGAGE_PROTOCOL_CALL_DIALECT_H_
#define GREENGAGE_PROTOCOL_CALL_DIALECT_H_

#include <string>

namespace greengage {

// Header names, and the path of the load balancer's readiness check. The
// defaults are those of this project's own platform.
struct CallDialect {
  // Id of a caller's request; searchers echo it in their answers.
  std::string request_id = "Greengage-Request-Id";
  // Milliseconds until the sender's timeout expires.
  std::string time_left = "Greengage-Time-Left-Ms";
  // Id of the intended searcher; any other searcher rejects the request.
  std::string expected_searcher = "Greengage-Expected-Searcher";
  // Signature that a searcher puts on its answer.
  std::string signature = "Greengage-Signature";
  // Load of a searcher as "running, waiting, slots" or "running, waiting,
  // slots, work time in percent of the usual".
  std::string load = "Greengage-Load";
  // Requests per second that a searcher takes from all instances together.
  std::string request_limit = "Greengage-Request-Limit";
  // Present, with the value 1, in all answers of a searcher that leaves.
  std::string leaving = "Greengage-Leaving";
  // Present in an answer if the searcher did not execute the request.
  std::string not_run = "Greengage-Not-Run";
  // Comma-separated signatures of the partial answers that were merged.
  std::string part_signatures = "Greengage-Part-Signatures";
  // Number of shards that the merged answer does not cover.
  std::string missing_parts = "Greengage-Missing-Parts";
  // Name of the organisation whose key the caller has.
  std::string organisation = "Greengage-Organisation";
  // Scheme of the Authorization header, before the key.
  std::string key_scheme = "Token";
  // Milliseconds for which a searcher that answers a health check stays cold.
  std::string warm_up_left = "Greengage-Warm-Up-Left-Ms";
  std::string ready_path = "/readyz";
};

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_CALL_DIALECT_H_
