#include "greengage/coordination/instance_counter.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace greengage {

bool InstanceCounter::Counts(TimePoint now, const Known& known) const {
  const auto is_kept = [this, now](const std::optional<TimePoint>& since) {
    return !since || now - *since < options_.kept_time;
  };
  return is_kept(known.missing_since) && is_kept(known.stopped_since);
}

void InstanceCounter::OnReading(TimePoint now,
                                const std::vector<InstanceRecord>& listed) {
  std::set<std::string> ids;
  for (const InstanceRecord& record : listed) {
    ids.insert(record.id);
    Known& known = known_[record.id];
    known.record = record;
    known.missing_since.reset();
    known.stopped_since = record.is_stopped
                              ? std::optional(known.stopped_since.value_or(now))
                              : std::nullopt;
  }
  for (auto& [id, known] : known_) {
    if (!ids.contains(id)) {
      known.missing_since = known.missing_since.value_or(now);
    }
  }
  std::erase_if(known_, [&](const auto& item) {
    return item.second.missing_since && !Counts(now, item.second);
  });
}

std::vector<InstanceRecord> InstanceCounter::Counted(TimePoint now) const {
  std::vector<InstanceRecord> counted{self_};
  for (const auto& [id, known] : known_) {
    if (id != self_.id && Counts(now, known)) {
      counted.push_back(known.record);
    }
  }
  std::sort(counted.begin(), counted.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  return counted;
}

std::vector<std::string> InstanceCounter::Outdated(TimePoint now) const {
  std::vector<std::string> ids;
  for (const auto& [id, known] : known_) {
    if (known.stopped_since &&
        now - *known.stopped_since >= options_.entry_lifetime) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<InstanceRecord> RunningInstances(
    const std::vector<InstanceRecord>& instances) {
  std::vector<InstanceRecord> running;
  std::copy_if(
      instances.begin(), instances.end(), std::back_inserter(running),
      [](const InstanceRecord& instance) { return !instance.is_stopped; });
  return running;
}

}  // namespace greengage
