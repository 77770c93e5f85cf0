// The graceful stop of an instance.
#include <boost/asio.hpp>

#include "entry_instance_impl.h"

namespace greengage {
namespace {

// Between two looks at whether the work under way has ended.
constexpr std::chrono::milliseconds kStopPollPeriod{20};

// How long the streams of other instances may take to end.
constexpr std::chrono::milliseconds kPeerStopLimit{2000};

}  // namespace

void EntryInstanceImpl::Stop(std::function<void()> stopped) {
  if (stopping_.exchange(true)) {
    return;
  }
  stopped_ = std::move(stopped);
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
  const StopStep step = stop_sequence_->Next(std::chrono::steady_clock::now(),
                                             front_->last_request(), HasWork());
  if (step != StopStep::kServe && !refusing_.exchange(true)) {
    http_server_->StopAccepting();
  }
  if (step == StopStep::kFinished) {
    StopPeers();
    return;
  }
  stop_timer_.expires_after(kStopPollPeriod);
  stop_timer_.async_wait(
      [self = shared_from_this()](auto) { self->AdvanceStop(); });
}

bool EntryInstanceImpl::HasWork() const {
  return front_->in_flight() > 0 || queries_->in_flight() > 0 ||
         claims_->in_flight() > 0 || owner_service_->in_flight() > 0 ||
         http_server_->connections() > 0;
}

// Streams of other instances get their answers; one that has stopped reading
// cannot hold the stop up.
void EntryInstanceImpl::StopPeers() {
  stop_timer_.expires_after(kPeerStopLimit);
  stop_timer_.async_wait([self = shared_from_this()](auto error) {
    if (!error) {
      self->FinishStop();
    }
  });
  peer_server_->Stop([self = shared_from_this()] { self->FinishStop(); });
}

void EntryInstanceImpl::FinishStop() {
  if (finished_.exchange(true)) {
    return;
  }
  router_->Close();
  configuration_->Stop();
  upstream_watch_->Stop();
  claim_sweeper_->Stop();
  seed_timer_.cancel();
  gossip_->Stop([self = shared_from_this()] {
    self->events_.Record(std::chrono::system_clock::now(),
                         EventKind::kProcessStopped, "", "graceful stop");
    self->stopped_();
  });
}

}  // namespace greengage
