// Sub-requests under way in a simulation.
#ifndef TOOLS_BENCH_SUB_CALL_H_
#define TOOLS_BENCH_SUB_CALL_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "greengage/state/query.h"
#include "greengage/state/time.h"

namespace greengage::bench {

// One sub-request from the entry to the searcher and back.
struct SubCall {
  SubRequest request;
  uint32_t query = 0;
  size_t searcher = 0;
  Duration queue_time{};
  TimePoint sent;  // To the searcher.
  uint64_t connection = 0;
  bool cancelled = false;
  bool lost_on_silent_connection = false;  // By a silent connection.
  bool ended = false;  // The end is on its way to the entry.
};

// Names a call even after its place has been taken by another one.
struct CallId {
  uint32_t index = 0;
  uint32_t generation = 0;

  bool operator==(const CallId&) const = default;
};

// Calls in places that are used again.
class SubCallTable {
 public:
  CallId Add(SubCall call) {
    if (free_.empty()) {
      free_.push_back(static_cast<uint32_t>(entries_.size()));
      entries_.emplace_back();
    }
    const uint32_t index = free_.back();
    free_.pop_back();
    entries_[index].call = std::move(call);
    entries_[index].used = true;
    return {index, entries_[index].generation};
  }

  // Null if the call has been removed.
  SubCall* Find(CallId id) {
    Entry& place = entries_[id.index];
    return place.used && place.generation == id.generation ? &place.call
                                                           : nullptr;
  }

  void Remove(CallId id) {
    if (Find(id) == nullptr) {
      return;
    }
    Entry& place = entries_[id.index];
    place.used = false;
    ++place.generation;
    free_.push_back(id.index);
  }

 private:
  struct Entry {
    SubCall call;
    uint32_t generation = 0;
    bool used = false;
  };

  std::vector<Entry> entries_;
  std::vector<uint32_t> free_;
};

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_SUB_CALL_H_
