// Reports of searchers that ended while they had a request.
#ifndef GREENGAGE_STATE_CRASH_REPORT_H_
#define GREENGAGE_STATE_CRASH_REPORT_H_

#include <chrono>
#include <string>

#include "greengage/state/request_digest.h"

namespace greengage {

// A searcher that ended while it had a request. The request may be the cause,
// or may just have been there.
struct CrashReport {
  RequestDigest digest;
  std::string request_id;  // Of the attempt of the caller.
  std::string service;
  std::string searcher;
  // Start of the searcher's process; with its id, this identifies the process.
  std::chrono::milliseconds started{};
};

// Returns the name under which instances share the report: the digest, and a
// hash of everything else.
std::string KeyOf(const CrashReport& report);

}  // namespace greengage

#endif  // GREENGAGE_STATE_CRASH_REPORT_H_
