// The parts of a routed instance that handle the evacuation of data centres and
// the quotas of organisations.
#include <algorithm>
#include <chrono>
#include <utility>

#include "greengage/transport/log_line.h"
#include "routed_instance_impl.h"
#include "transport/random_base.h"

namespace greengage {
void RoutedInstanceImpl::StartEvacuationWatch() {
  if (settings_.evacuation_time.count() == 0) {
    return;
  }
  auto hooks = ListWatchHooks<Evacuation>("evacuations", platform_.evacuations);
  hooks.on_snapshot = [this](const auto& items, StoreRevision revision) {
    OnStoredEvacuations(items, revision, true);
  };
  hooks.on_changes = [this](const auto& items, StoreRevision revision) {
    OnStoredEvacuations(items, revision, false);
  };
  evacuation_watcher_ = std::make_shared<ListWatcher<Evacuation>>(
      context_, WatchOptions(), std::move(hooks));
  evacuation_watcher_->Start();
}

void RoutedInstanceImpl::OnStoredEvacuations(
    const std::vector<StoreItem<Evacuation>>& items,
    StoreRevision revision,
    bool is_snapshot) {
  std::vector<FeedObject> objects;
  std::set<std::string> listed;
  for (const StoreItem<Evacuation>& item : items) {
    FeedObject object{
        FeedKind::kEvacuation, item.name, item.revision, item.removed, {}};
    if (!item.removed) {
      object.value = Evacuation{item.name};
      listed.insert(item.name);
    }
    UseEvacuation(item.name, !item.removed, "store");
    objects.push_back(std::move(object));
  }
  const TimePoint now = NowWithSuspension();
  if (is_snapshot) {
    evacuations_read_ = true;
    EndEvacuationsExcept(listed, "store");
    feed_cache_.Replace(now, FeedKind::kEvacuation, revision,
                        std::move(objects));
  } else {
    feed_cache_.Apply(now, FeedKind::kEvacuation, revision, std::move(objects));
  }
  feed_server_->OnCacheChanged();
}

void RoutedInstanceImpl::UseEvacuation(const std::string& data_centre,
                                       bool evacuated,
                                       std::string_view source) {
  if (plan_context_.placement.SetEvacuated(data_centre, evacuated)) {
    LogLine(DecisionEvent::kEvacuationChanged)
        .Add("data_centre", data_centre)
        .Add("evacuated", evacuated ? "yes" : "no")
        .Add("source", source)
        .Write();
  }
}

void RoutedInstanceImpl::EndEvacuationsExcept(
    const std::set<std::string>& listed,
    std::string_view source) {
  const std::set<std::string> evacuated = plan_context_.placement.evacuated();
  for (const std::string& data_centre : evacuated) {
    if (!listed.contains(data_centre)) {
      UseEvacuation(data_centre, false, source);
    }
  }
}

std::optional<RequestQuota> RoutedInstanceImpl::QuotaOf(
    const std::string& organisation) const {
  const Organisation* const found =
      route_table_ ? route_table_->FindOrganisation(organisation) : nullptr;
  return found == nullptr || !found->quota.is_limited()
             ? std::nullopt
             : std::optional(found->quota);
}

void RoutedInstanceImpl::UpdateQuotas() {
  const auto has_limit = [](const Organisation& organisation) {
    return organisation.quota.is_limited();
  };
  if (settings_.quota_window.count() <= 0 || !route_table_ ||
      std::none_of(route_table_->organisations().begin(),
                   route_table_->organisations().end(), has_limit)) {
    return;
  }
  if (!quotas_) {
    quotas_ = std::make_shared<QuotaService>(
        context_,
        QuotaService::Options{
            settings_.id, RandomBase(), settings_.peer, settings_.regions,
            QuotaLedgerOptions{
                std::chrono::duration_cast<Duration>(settings_.quota_window),
                settings_.quota_overage,
                static_cast<double>(settings_.quota_allowance)}},
        QuotaService::Hooks{[this](const std::string& organisation) {
                              return QuotaOf(organisation);
                            },
                            [](const QuotaShare& share, double level) {
                              LogLine(DecisionEvent::kQuotaLimited)
                                  .Add("organisation", share.organisation)
                                  .Add("share", share.share)
                                  .Add("retry_after_ms", share.retry_after)
                                  .Add("level", level)
                                  .Write();
                            }});
  }
  const Result<Done> started = quotas_->Start();
  if (!started) {
    LogLine(DecisionEvent::kHandlerFailed)
        .Add("where", "quotas")
        .Add("detail", Describe(started.last_reason()))
        .Write();
  }
  quotas_->SetInstances(known_instances_);
}

// Without the service, a quota is kept by this instance's own share.
QuotaVerdict RoutedInstanceImpl::AdmitWithinQuota(
    const Organisation& organisation) {
  return quotas_ ? quotas_->Admit(organisation, LimitShareOf(""))
                 : QuotaVerdict{};
}

}  // namespace greengage
