// A searcher as it registers itself.
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
  uint32_t slots = 1;  // Requests that it works on at once.
  bool draining = false;
  std::chrono::milliseconds warm_up_left{};  // How much longer it is slow.
  // Start of the process, since the Unix epoch; tells incarnations that use
  // the same id apart. Zero: not told.
  std::chrono::milliseconds started{};

  // Whether both are the same process.
  bool SameProcess(const SearcherEntry& other) const {
    return id == other.id && started == other.started &&
           endpoint == other.endpoint && service == other.service;
  }
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_SEARCHER_ENTRY_H_
