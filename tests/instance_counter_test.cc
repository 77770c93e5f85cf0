// Guards against instances that take themselves for some of few while many are
// restarted, and together use more of a limit than there is.
#include "greengage/coordination/instance_counter.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "greengage/coordination/instance_share.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

using Ms = std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Duration kKept = std::chrono::seconds(60);

InstanceRecord MakeInstance(const std::string& id, bool is_stopped = false) {
  return {id, "a", {"10.0.0.1", 80}, 1, is_stopped};
}

std::vector<std::string> Ids(const std::vector<InstanceRecord>& instances) {
  std::vector<std::string> ids;
  ids.reserve(instances.size());
  for (const InstanceRecord& instance : instances) {
    ids.push_back(instance.id);
  }
  return ids;
}

using Names = std::vector<std::string>;

// The registry as it was at different times.
class History {
 public:
  void Put(TimePoint now, const InstanceRecord& record) {
    std::map<std::string, InstanceRecord> next =
        states_.empty() ? std::map<std::string, InstanceRecord>()
                        : states_.rbegin()->second;
    next[record.id] = record;
    states_[now] = next;
  }

  void Remove(TimePoint now, const std::string& id) {
    auto next = states_.rbegin()->second;
    next.erase(id);
    states_[now] = next;
  }

  std::vector<InstanceRecord> At(TimePoint time) const {
    const auto after = states_.upper_bound(time);
    std::vector<InstanceRecord> listed;
    if (after != states_.begin()) {
      for (const auto& [id, record] : std::prev(after)->second) {
        listed.push_back(record);
      }
    }
    return listed;
  }

 private:
  std::map<TimePoint, std::map<std::string, InstanceRecord>> states_;
};

// Restarts all instances in turn, some of them at once, while readings are up
// to some seconds old, and returns the largest sum of their shares of a limit.
// `marks` says whether an instance that stops leaves its entry, and
// `counts_listed` whether it counts just those that are listed.
double LargestSumOfShares(uint32_t seed, bool marks, bool counts_listed) {
  constexpr size_t kInstances = 8;
  constexpr Ms kMaxAge{5500};
  constexpr Ms kStep{100};
  std::minstd_rand random(seed);
  const auto random_ms = [&random](int64_t below) {
    return Ms(std::uniform_int_distribution<int64_t>(0, below - 1)(random));
  };
  struct Instance {
    std::string id;
    TimePoint stops;
    TimePoint starts;
    TimePoint reads;
    bool runs = true;
    std::optional<InstanceCounter> counter;
    size_t count = kInstances;
  };
  History registry;
  std::vector<Instance> instances(kInstances);
  for (size_t i = 0; i < kInstances; ++i) {
    Instance& instance = instances[i];
    instance.id = std::to_string(i);
    instance.stops = kStart + Ms(10000) + random_ms(4000);
    instance.starts = instance.stops + Ms(300) + random_ms(1500);
    instance.reads = kStart + Ms(6000) + random_ms(10000);
    instance.counter.emplace(MakeInstance(instance.id),
                             InstanceCounterOptions{});
    registry.Put(kStart, MakeInstance(instance.id));
  }
  double largest = 0;
  for (TimePoint now = kStart; now < kStart + Ms(40000); now += kStep) {
    double sum = 0;
    for (Instance& instance : instances) {
      if (instance.runs && now >= instance.stops && now < instance.starts) {
        instance.runs = false;
        if (marks) {
          registry.Put(now, MakeInstance(instance.id, true));
        } else {
          registry.Remove(now, instance.id);
        }
      } else if (!instance.runs && now >= instance.starts) {
        instance.runs = true;
        instance.counter.emplace(MakeInstance(instance.id),
                                 InstanceCounterOptions{});
        instance.count = kInstances;  // Assumes many until it has read.
        instance.reads = now;
        registry.Put(now, MakeInstance(instance.id));
      }
      if (instance.runs && now >= instance.reads) {
        const auto listed = registry.At(now - random_ms(kMaxAge.count() + 1));
        instance.counter->OnReading(now, listed);
        instance.count = counts_listed ? std::max<size_t>(1, listed.size())
                                       : instance.counter->Counted(now).size();
        instance.reads = now + Ms(3000) + random_ms(7000);
      }
      sum += instance.runs ? InstanceShare(1, instance.count) : 0;
    }
    largest = std::max(largest, sum);
  }
  return largest;
}

}  // namespace

Test(InstanceCounter, CountsItselfAndThoseThatMayBeBackSoon) {
  InstanceCounter counter(MakeInstance("b"), InstanceCounterOptions{});
  counter.OnReading(kStart, {});
  cr_assert(Ids(counter.Counted(kStart)) == Names{"b"});
  counter.OnReading(kStart, {MakeInstance("c"), MakeInstance("a", true)});
  cr_assert(Ids(counter.Counted(kStart)) == (Names{"a", "b", "c"}));
  // It has stopped for long, and is back.
  const TimePoint later = kStart + kKept;
  cr_assert(Ids(counter.Counted(later)) == (Names{"b", "c"}));
  counter.OnReading(later, {MakeInstance("c"), MakeInstance("a")});
  cr_assert(Ids(counter.Counted(later)) == (Names{"a", "b", "c"}));
}

Test(InstanceCounter, CountsThoseThatAreMissingForAWhile) {
  InstanceCounter counter(MakeInstance("b"), InstanceCounterOptions{});
  counter.OnReading(kStart, {MakeInstance("a"), MakeInstance("b")});
  // The time counts from the reading that lacks it, however long no other came.
  const TimePoint missed = kStart + 2 * kKept;
  cr_assert_eq(counter.Counted(missed).size(), 2);
  counter.OnReading(missed, {MakeInstance("b")});
  cr_assert_eq(counter.Counted(missed + kKept - Ms(1)).size(), 2);
  cr_assert_eq(counter.Counted(missed + kKept).size(), 1);
}

Test(InstanceCounter, NamesEntriesThatAreOutdated) {
  const InstanceCounterOptions options;
  InstanceCounter counter(MakeInstance("b"), options);
  for (const Duration age : {Duration::zero(), options.entry_lifetime / 2}) {
    counter.OnReading(kStart + age, {MakeInstance("a", true)});
    cr_assert(counter.Outdated(kStart + age).empty());
  }
  const TimePoint end = kStart + options.entry_lifetime;
  cr_assert(counter.Outdated(end) == Names{"a"});
  counter.OnReading(end, {MakeInstance("a")});
  cr_assert(counter.Outdated(end).empty());
}

Test(InstanceCounter, SharesStayWithinTheWholeWhileAllAreRestarted) {
  constexpr uint32_t kSeeds = 2000;
  double largest = 0;
  size_t broken_before = 0;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    largest = std::max(largest, LargestSumOfShares(seed, true, false));
    broken_before += LargestSumOfShares(seed, false, true) > 1 ? 1 : 0;
  }
  cr_expect(largest <= 1, "%f of the whole", largest);
  // With entries that are removed at a stop, and counted as they are listed,
  // the model shows the fault.
  cr_expect(broken_before > 0);
}

}  // namespace greengage
