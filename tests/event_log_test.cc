#include "greengage/state/event_log.h"

#include <chrono>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

namespace greengage {

namespace {

constexpr WallTime kWall{std::chrono::hours(1)};

}  // namespace

Test(EventLog, KeepsTheNewestEventsInOrder) {
  HybridClock clock;
  EventLog log("a", 64, &clock);
  for (int i = 0; i < 200; ++i) {
    log.Record(kWall, EventKind::kQueryAdmitted, "r", std::to_string(i));
  }
  const std::vector<Event> events = log.Read({}, std::nullopt, 1000);
  cr_assert(events.size() == 64);
  for (size_t i = 0; i < events.size(); ++i) {
    cr_assert(events[i].subject == std::to_string(200 - 64 + i));
    cr_assert(events[i].process == "a");
  }
}

Test(EventLog, ReadsByRequestTimeAndLimit) {
  HybridClock clock;
  EventLog log("a", 64, &clock);
  for (int i = 0; i < 20; ++i) {
    log.Record(kWall, EventKind::kSubRequestSent, i % 2 ? "odd" : "even", "");
  }
  const std::vector<Event> odd = log.Read({}, "odd", 4);
  cr_assert(odd.size() == 4);
  const std::vector<Event> rest = log.Read(odd.back().time, "odd", 100);
  cr_assert(rest.size() == 7);
  cr_assert(rest.front().time == odd.back().time);
}

Test(EventLog, RecordsEventsOfManyThreads) {
  HybridClock clock;
  EventLog log("a", 8000, &clock);
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&log] {
      for (int i = 0; i < 500; ++i) {
        log.Record(kWall, EventKind::kSubRequestSent, "r", "s");
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::vector<Event> events = log.Read({}, std::nullopt, 8000);
  cr_assert(events.size() == 2000);
  for (size_t i = 1; i < events.size(); ++i) {
    cr_assert(events[i - 1].time < events[i].time);
  }
}

Test(EventLog, HasAUniqueNameForEveryKind) {
  std::set<std::string_view> names;
  for (const EventKind kind : AllEventKinds()) {
    names.insert(EventKindName(kind));
  }
  cr_assert(names.size() == AllEventKinds().size());
  cr_assert(names.count("unnamed") == 0);
  cr_assert(EventKindName(EventKind::kPlatformBack) == "platform_back");
}

}  // namespace greengage
