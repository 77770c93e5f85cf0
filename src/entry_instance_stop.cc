// Graceful shutdown of an entry instance.
#include <boost/asio.hpp>

#include <algorithm>

#include "entry_instance_impl.h"

namespace greengage {
namespace {

// Interval of the checks whether the shutdown can advance.
constexpr std::chrono::milliseconds kStopPollInterval{20};

// Time limit for the last answers to be written and the streams of other
// instances to end. It keeps a client that has stopped reading from delaying
// the shutdown.
constexpr std::chrono::milliseconds kLastStepsTimeout{2000};

}  // namespace

void EntryInstanceImpl::Stop(std::function<void()> stopped) {
  if (stopping_.exchange(true)) {
    return;
  }
  on_stopped_ = std::move(stopped);
  events_.Record(std::chrono::system_clock::now(), EventKind::kProcessStopping,
                 "", "graceful stop");
  configuration_->SetWatching(false);
  gossip_->Leave();
  http_server_->DisableKeepAlive();
  stop_sequence_.emplace(
      std::chrono::steady_clock::now(), settings_.stop_notice,
      settings_.stop_grace,
      std::chrono::duration_cast<Duration>(settings_.stop_within));
  AdvanceStop();
}

void EntryInstanceImpl::AdvanceStop() {
  const StopStep step = stop_sequence_->Next(
      std::chrono::steady_clock::now(), http_api_->last_request(), HasWork());
  if (step != StopStep::kServe && !rejecting_.exchange(true)) {
    http_server_->StopAccepting();
  }
  if (step == StopStep::kFinished) {
    EndRequests();
    return;
  }
  stop_timer_.expires_after(kStopPollInterval);
  stop_timer_.async_wait(
      [self = shared_from_this()](auto) { self->AdvanceStop(); });
}

bool EntryInstanceImpl::HasWork() const {
  return http_api_->in_flight() > 0 || queries_->in_flight() > 0 ||
         claims_->in_flight() > 0 || owner_service_->in_flight() > 0 ||
         http_server_->connections() > 0;
}

// Callers get an answer to what is still in flight, and the streams of other
// instances are completed.
void EntryInstanceImpl::EndRequests() {
  http_api_->EndAll();
  const TimePoint now = std::chrono::steady_clock::now();
  peer_server_->Stop(
      [self = shared_from_this()] { self->peers_stopped_ = true; });
  AwaitLastAnswers(
      now, std::min(now + kLastStepsTimeout, stop_sequence_->answers_end()));
}

void EntryInstanceImpl::AwaitLastAnswers(TimePoint now, TimePoint end) {
  const bool written = peers_stopped_ && http_server_->connections() == 0;
  if (written || now >= end) {
    FinishStop();
    return;
  }
  stop_timer_.expires_after(kStopPollInterval);
  stop_timer_.async_wait([self = shared_from_this(), end](auto) {
    self->AwaitLastAnswers(std::chrono::steady_clock::now(), end);
  });
}

void EntryInstanceImpl::FinishStop() {
  router_->Close();
  configuration_->Stop();
  upstream_watch_->Stop();
  claim_sweeper_->Stop();
  seed_timer_.cancel();
  gossip_->Stop([self = shared_from_this()] {
    self->events_.Record(std::chrono::system_clock::now(),
                         EventKind::kProcessStopped, "", "graceful stop");
    self->on_stopped_();
  });
}

}  // namespace greengage
