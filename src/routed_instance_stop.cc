// Housekeeping, reload and graceful shutdown of a routed instance.
#include <algorithm>
#include <chrono>
#include <utility>

#include "greengage/transport/connection_trial.h"
#include "greengage/transport/log.h"
#include "greengage/transport/log_line.h"
#include "routed_instance_impl.h"

namespace greengage {
namespace {

// Interval of the checks whether the shutdown can advance.
constexpr std::chrono::milliseconds kStopPollInterval{50};

// Interval of the checks whether the last answers have been written.
constexpr std::chrono::milliseconds kAnswersPollInterval{10};

// Time for answers to be handed to the system after the end of a stop.
constexpr std::chrono::milliseconds kMinLastAnswersTime{50};

// Interval at which expired searchers are removed and the log is flushed.
constexpr std::chrono::milliseconds kHousekeepingInterval{250};

}  // namespace

void RoutedInstanceImpl::ScheduleHousekeeping() {
  housekeeping_timer_.expires_after(kHousekeepingInterval);
  housekeeping_timer_.async_wait([weak = weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->RunHousekeeping();
    }
  });
}

void RoutedInstanceImpl::RunHousekeeping() {
  ScheduleHousekeeping();
  plan_context_.searchers.Expire(Now());
  if (!instance_ids_.empty() && CountInstances()) {
    UpdateGatherers();
  }
  LogRateLimits();
  TrySearchers();
  ShareCrashReports();
  ExpireCrashReports();
  GiveBackCrashSlots();
  FlushLog();
}

void RoutedInstanceImpl::LogRateLimits() {
  for (const auto& [searcher, report] :
       plan_context_.searchers.TakeRateLimitReports(Now())) {
    LogLine line(DecisionEvent::kSearcherLimit);
    line.Add("searcher", searcher->entry().id)
        .Add("service", searcher->entry().service);
    if (report.limit) {
      line.Add("limit_per_s", *report.limit);
    }
    line.Add("sent", report.sent).Add("interval_ms", report.interval).Write();
  }
}

// Leaves the addresses and limits of open sockets as they are.
void RoutedInstanceImpl::Reload(const InstanceSettings& settings) {
  const bool needs_restart = settings.id != settings_.id ||
                             settings.http != settings_.http ||
                             settings.ready != settings_.ready ||
                             settings.metrics != settings_.metrics ||
                             settings.platform != settings_.platform ||
                             settings.data_centre != settings_.data_centre;
  SetLogLevel(settings.log_level);
  settings_.extra_arrivals_ratio = settings.extra_arrivals_ratio;
  settings_.extra_arrivals_window = settings.extra_arrivals_window;
  settings_.stop_notice = settings.stop_notice;
  settings_.stop_grace = settings.stop_grace;
  settings_.stop_within = settings.stop_within;
  settings_.extra_arrivals_allowance = settings.extra_arrivals_allowance;
  SetInstanceCount(instance_count_);
  LogLine(DecisionEvent::kSettingsReloaded)
      .Add("log_level", static_cast<int>(settings.log_level))
      .Add("needs_restart", needs_restart ? "yes" : "no")
      .Write();
}

void RoutedInstanceImpl::TrySearchers() {
  const TimePoint now = Now();
  for (const SearcherEntry& searcher : plan_context_.searchers.Sample(
           now, reach_.TakeTrial(now), plan_context_.random)) {
    const RoutedService* const service =
        route_table_ ? route_table_->FindService(searcher.service) : nullptr;
    TryServer(context_, searcher.endpoint, service ? service->health_path : "/",
              TrialTimeouts{},
              [weak = weak_from_this(),
               data_centre = searcher.data_centre](TrialResult result) {
                if (const auto self = weak.lock()) {
                  self->OnTrialResult(result, data_centre);
                }
              });
  }
}

void RoutedInstanceImpl::OnTrialResult(TrialResult result,
                                       const std::string& data_centre) {
  const bool was_cut_off = reach_.is_cut_off();
  reach_.OnTrialResult(result);
  if (result == TrialResult::kAnswered) {
    reach_.OnReached(Now(), data_centre);
  }
  if (reach_.is_cut_off() != was_cut_off) {
    LogLine(was_cut_off ? DecisionEvent::kSearchersReachedAgain
                        : DecisionEvent::kSearchersUnreachable)
        .Write();
  }
}

void RoutedInstanceImpl::Stop(std::function<void()> stopped) {
  if (std::exchange(stopping_, true)) {
    return;
  }
  on_stopped_ = std::move(stopped);
  LogLine(DecisionEvent::kInstanceStopping)
      .Add("in_flight", router_->in_flight())
      .Write();
  caller_server_->DisableKeepAlive();
  instances_timer_.cancel();
  InstanceRecord record = SelfRecord();
  record.is_stopped = true;
  platform_.instances.mark_stopped(record, [](const Result<Done>&) {
    // If the call fails, the other instances count one instance too many for as
    // long as it is stopped, and use smaller shares of the common limits.
  });
  stop_sequence_.emplace(
      Now(), settings_.stop_notice, settings_.stop_grace,
      std::chrono::duration_cast<Duration>(settings_.stop_within));
  AdvanceStop();
}

void RoutedInstanceImpl::AdvanceStop() {
  const bool has_work =
      router_->in_flight() > 0 || forwarder_->in_flight() > 0 ||
      peer_forwarder_->in_flight() > 0 || caller_server_->connections() > 0 ||
      peer_server_->unanswered() > 0;
  const StopStep step =
      stop_sequence_->Next(Now(), router_->last_request(), has_work);
  if (step != StopStep::kServe && !std::exchange(rejecting_, true)) {
    caller_server_->StopAccepting();
    feed_server_->OnCacheChanged();  // Peers must read from another instance.
  }
  if (step == StopStep::kFinished) {
    EndRequests();
    return;
  }
  stop_timer_.expires_after(kStopPollInterval);
  stop_timer_.async_wait(
      [self = shared_from_this()](auto) { self->AdvanceStop(); });
}

// A request that is cut off without an answer leaves its caller waiting and may
// not be repeated.
void RoutedInstanceImpl::EndRequests() {
  const size_t in_flight = router_->in_flight() + forwarder_->in_flight() +
                           peer_forwarder_->in_flight();
  if (in_flight > 0) {
    LogLine(DecisionEvent::kRequestsEndedByStop)
        .Add("in_flight", in_flight)
        .Write();
    forwarder_->EndAll();
    peer_forwarder_->EndAll();
    router_->EndAll();
  }
  // A process that was suspended may be past the end already.
  const TimePoint now = Now();
  AwaitLastAnswers(
      now, std::max(stop_sequence_->answers_end(), now + kMinLastAnswersTime));
}

void RoutedInstanceImpl::AwaitLastAnswers(TimePoint now, TimePoint end) {
  const size_t unanswered =
      caller_server_->unanswered() + peer_server_->unanswered();
  if (unanswered == 0 || now >= end) {
    FinishStop();
    return;
  }
  stop_timer_.expires_after(kAnswersPollInterval);
  stop_timer_.async_wait([self = shared_from_this(), end](auto) {
    self->AwaitLastAnswers(Now(), end);
  });
}

void RoutedInstanceImpl::FinishStop() {
  feed_timer_.cancel();
  if (quotas_) {
    quotas_->Stop();
  }
  StopStoreWatches();
  peer_server_->StopAccepting();
  housekeeping_timer_.cancel();
  clients_->CloseAll();
  LogLine(DecisionEvent::kInstanceStopped)
      .Add("in_flight", router_->in_flight())
      .Add("connections", caller_server_->connections())
      .Add("unanswered", caller_server_->unanswered())
      .Write();
  FlushLog();
  on_stopped_();
}

}  // namespace greengage
