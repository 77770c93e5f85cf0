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
  // Number of the report that the entry is from. Rises with each report of the
  // process. Zero if not reported.
  uint64_t report = 0;

  // Returns whether both entries belong to the same process.
  bool SameProcess(const SearcherEntry& other) const {
    return id == other.id && started == other.started &&
           endpoint == other.endpoint && service == other.service;
  }

  // Returns whether the entry is from an earlier report of the same process
  // than `other`. A store that was restored from a copy has such entries. Start
  // times do not order processes, since the clocks of their machines may be set
  // back.
  bool IsBefore(const SearcherEntry& other) const {
    return SameProcess(other) && report < other.report;
  }

  // Returns whether the entry does not show that a searcher is back whose last
  // known entry was `last`. A searcher whose entry expired while it lives
  // reports again, with a higher number. Without numbers, an old entry cannot
  // be told from a new one.
  bool IsNotAfter(const SearcherEntry& last) const {
    return SameProcess(last) && last.report != 0 && report <= last.report;
  }
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_SEARCHER_ENTRY_H_
