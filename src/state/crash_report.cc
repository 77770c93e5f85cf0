#include "greengage/state/crash_report.h"

#include <xxhash.h>

namespace greengage {

std::string KeyOf(const CrashReport& report) {
  const std::string event = report.request_id + "/" + report.searcher + "/" +
                            std::to_string(report.started.count());
  const XXH128_hash_t hash = XXH3_128bits(event.data(), event.size());
  return ToString(report.digest) + "-" + ToString({hash.high64, hash.low64});
}

}  // namespace greengage
