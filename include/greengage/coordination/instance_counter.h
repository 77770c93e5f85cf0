// Counts the instances among which the common limits are divided.
#ifndef GREENGAGE_COORDINATION_INSTANCE_COUNTER_H_
#define GREENGAGE_COORDINATION_INSTANCE_COUNTER_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "greengage/state/instance_record.h"
#include "greengage/state/time.h"

namespace greengage {

struct InstanceCounterOptions {
  // Time for which an instance counts after it was found to have stopped, or to
  // be missing. It may be back by then, and readings may be older than its new
  // entry. Instances whose entries the store lost, as after a restore from a
  // copy, need two readings to be back.
  Duration kept_time = std::chrono::seconds(60);
  // Time after which the entry of an instance that has stopped is removed.
  Duration entry_lifetime = std::chrono::minutes(10);
};

// Restarts of many instances in turn, seen through readings that are some
// seconds old, must not make each of them believe that it is one of few: what
// all spend then is more than the whole. An instance that stops leaves its
// entry in the registry, marked, so that even one that has read the registry
// once knows of it. This instance itself always counts. Not thread-safe.
class InstanceCounter {
 public:
  InstanceCounter(InstanceRecord self, InstanceCounterOptions options)
      : self_(std::move(self)), options_(options) {}

  // Takes a reading of the registry, which may be some seconds old.
  void OnReading(TimePoint now, const std::vector<InstanceRecord>& listed);

  // Returns the instances that count, sorted by their ids.
  std::vector<InstanceRecord> Counted(TimePoint now) const;

  // Returns the ids of those that stopped so long ago that their entries can be
  // removed.
  std::vector<std::string> Outdated(TimePoint now) const;

 private:
  struct Known {
    InstanceRecord record;
    // Time of the first reading since which it has not been listed, or been
    // listed as stopped.
    std::optional<TimePoint> missing_since;
    std::optional<TimePoint> stopped_since;
  };

  bool Counts(TimePoint now, const Known& known) const;

  const InstanceRecord self_;
  const InstanceCounterOptions options_;
  std::map<std::string, Known> known_;  // By id.
};

// Returns those that have not stopped.
std::vector<InstanceRecord> RunningInstances(
    const std::vector<InstanceRecord>& instances);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_INSTANCE_COUNTER_H_
