// A searcher's entry in the registry.
#ifndef GREENGAGE_STATE_SEARCHER_ENTRY_H_
#define GREENGAGE_STATE_SEARCHER_ENTRY_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "greengage/state/endpoint.h"

namespace greengage {

struct SearcherEntry {
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string data_centre;
  uint32_t slots = 1;  // Requests that it runs concurrently.
  bool draining = false;
  std::chrono::milliseconds warm_up_left{};  // Remaining warm-up time.
  // Start time of the process since the Unix epoch; distinguishes incarnations
  // with the same id. Zero if not reported.
  std::chrono::milliseconds started{};

  // Returns whether both entries belong to the same process.
  bool SameProcess(const SearcherEntry& other) const {
    return id == other.id && started == other.started &&
           endpoint == other.endpoint && service == other.service;
  }
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_SEARCHER_ENTRY_H_
