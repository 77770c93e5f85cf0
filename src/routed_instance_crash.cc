// The parts of a routed instance that share reports of searchers that ended
// while they had a request.
#include <algorithm>
#include <optional>
#include <utility>

#include "greengage/transport/log_line.h"
#include "routed_instance_impl.h"

namespace greengage {

void RoutedInstanceImpl::StartCrashReportWatch() {
  auto hooks = ListWatchHooks<CrashReport>("crash_reports",
                                           platform_.crash_reports.source);
  hooks.on_snapshot = [this](const auto& items, StoreRevision revision) {
    OnStoredCrashReports(items, revision, true);
  };
  hooks.on_changes = [this](const auto& items, StoreRevision revision) {
    OnStoredCrashReports(items, revision, false);
  };
  crash_report_watcher_ = std::make_shared<ListWatcher<CrashReport>>(
      context_, WatchOptions(), std::move(hooks));
  crash_report_watcher_->Start();
}

// A listing that lacks a report withdraws nothing: a store that was restored
// from a copy may have lost it.
void RoutedInstanceImpl::OnStoredCrashReports(
    const std::vector<StoreItem<CrashReport>>& items,
    StoreRevision revision,
    bool is_snapshot) {
  std::vector<FeedObject> objects;
  for (const StoreItem<CrashReport>& item : items) {
    FeedObject object{
        FeedKind::kCrashReport, item.name, item.revision, item.removed, {}};
    if (item.value) {
      UseCrashReport(*item.value, "store");
      object.value = *item.value;
    } else if (item.removed) {
      suspects_.Remove(item.name);
    } else {
      continue;
    }
    objects.push_back(std::move(object));
  }
  const TimePoint now = NowWithSuspension();
  if (is_snapshot) {
    feed_cache_.Replace(now, FeedKind::kCrashReport, revision,
                        std::move(objects));
  } else {
    feed_cache_.Apply(now, FeedKind::kCrashReport, revision,
                      std::move(objects));
  }
  feed_server_->OnCacheChanged();
}

void RoutedInstanceImpl::OnSearcherCrashed(const CrashReport& report,
                                           CrashedRequest request) {
  suspects_.OnCrash(Now(), report, std::move(request));
  ShareCrashReports();
}

void RoutedInstanceImpl::ShareCrashReports() {
  const CrashReportChanges changes = suspects_.TakeChanges(Now());
  for (const CrashReport& report : std::exchange(unshared_reports_, {})) {
    ShareCrashReport(report);
  }
  for (const CrashReport& report : changes.share) {
    LogSuspect(report, "own");
    ShareCrashReport(report);
  }
  WithdrawCrashReports(changes.withdraw);
}

void RoutedInstanceImpl::UseCrashReport(const CrashReport& report,
                                        std::string_view source) {
  if (suspects_.Add(Now(), report)) {
    LogSuspect(report, source);
  }
}

void RoutedInstanceImpl::LogSuspect(const CrashReport& report,
                                    std::string_view source) {
  LogLine(DecisionEvent::kRequestSuspected)
      .Add("digest", ToString(report.digest))
      .Add("request_id", report.request_id)
      .Add("searcher", report.searcher)
      .Add("crashes", suspects_.Judge(Now(), report.digest).crashes)
      .Add("source", source)
      .Write();
}

void RoutedInstanceImpl::ShareCrashReport(const CrashReport& report) {
  platform_.crash_reports.add(
      report, [weak = weak_from_this(), report](const Result<Done>& added) {
        const auto self = weak.lock();
        if (!added && self && !self->stopping_ &&
            self->unshared_reports_.size() < kMaxUnsharedReports) {
          self->unshared_reports_.push_back(report);
        }
      });
}

void RoutedInstanceImpl::WithdrawCrashReports(
    const std::vector<std::string>& keys) {
  std::erase_if(unshared_reports_, [&keys](const CrashReport& report) {
    return std::find(keys.begin(), keys.end(), KeyOf(report)) != keys.end();
  });
  for (const std::string& key : keys) {
    LogLine(DecisionEvent::kRequestCleared).Add("report", key).Write();
    platform_.crash_reports.remove(key, [](const Result<Done>&) {
      // A report that stays makes other instances treat the request warily
      // until they get an answer to it as well.
    });
  }
}

void RoutedInstanceImpl::ExpireCrashReports() {
  const std::vector<CrashReport> expired = suspects_.Expire(Now());
  if (!crash_report_watcher_) {
    return;
  }
  std::vector<std::string> keys;
  for (const CrashReport& report : expired) {
    keys.push_back(KeyOf(report));
    if (suspects_.IsSuspected(report.digest)) {
      continue;
    }
    // Slots of instances that have ended expire with the last report.
    for (size_t number = 0; number < suspects_.max_slots(); ++number) {
      crash_slots_.OnEnded(Now(), {report.digest, number}, SlotUse::kUnused);
    }
  }
  WithdrawCrashReports(keys);
}

void RoutedInstanceImpl::TakeCrashSlot(const CrashSlot& slot,
                                       size_t count,
                                       RequestRouter::SlotCallback done) {
  platform_.crash_reports.take_slot(
      slot, [weak = weak_from_this(), slot, count,
             done = std::move(done)](const Result<bool>& taken) {
        const auto self = weak.lock();
        if (!taken) {
          done(taken.last_reason());
        } else if (*taken) {
          done(std::optional(slot));
        } else if (self && slot.number + 1 < count) {
          self->TakeCrashSlot({slot.digest, slot.number + 1}, count, done);
        } else {
          done(std::optional<CrashSlot>());
        }
      });
}

void RoutedInstanceImpl::OnCrashSlotEnded(const CrashSlot& slot, SlotUse use) {
  crash_slots_.OnEnded(Now(), slot, use);
  GiveBackCrashSlots();
}

void RoutedInstanceImpl::GiveBackCrashSlots() {
  for (const CrashSlot& slot : crash_slots_.TakeDue(Now())) {
    platform_.crash_reports.give_back_slot(
        slot, [weak = weak_from_this(), slot](const Result<Done>& given_back) {
          const auto self = weak.lock();
          if (self && !given_back) {
            self->crash_slots_.OnGiveBackFailed(Now(), slot);
          }
        });
  }
}

}  // namespace greengage
