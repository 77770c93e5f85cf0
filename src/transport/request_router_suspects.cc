// The parts of a RequestRouter that handle requests under which searchers may
// end.
#include <algorithm>
#include <utility>

#include "greengage/transport/log_line.h"
#include "transport/clock.h"
#include "transport/request_router_state.h"

namespace greengage {
namespace {

// A suspected request waits this long for its slot.
constexpr Duration kMaxSlotWait = std::chrono::milliseconds(500);

// Retry delay of a suspected request while the store cannot be asked.
constexpr Duration kNoStoreRetryDelay = std::chrono::seconds(1);

// A searcher that a request ends has ended this long after the request.
constexpr Duration kSlotCheckDelay = std::chrono::seconds(1);

}  // namespace

void RequestRouter::RejectSuspect(const CallerRequest& caller,
                                  const std::shared_ptr<HttpExchange>& exchange,
                                  const RequestDigest& digest,
                                  const SuspectVerdict& verdict) {
  Reject(caller.id, exchange,
         Failure{FailureKind::kUnavailable, "request " + ToString(digest),
                 std::to_string(verdict.crashes) + " " + kSuspectDetail},
         verdict.retry_after);
}

void RequestRouter::ReleaseSuspect(const ActiveRequest& active) {
  if (active.is_suspect) {
    suspects_->Release(active.digest);
  }
  if (active.plan->RanWithoutLoss()) {
    const std::vector<std::string> keys = suspects_->OnAnswered(active.digest);
    if (!keys.empty()) {
      hooks_.on_cleared(keys);
    }
  }
}

void RequestRouter::AwaitSlot(uint64_t number, Arrival arrival, size_t slots) {
  const RequestDigest digest = arrival.digest;
  const auto waiting =
      std::make_shared<WaitingRequest>(context_, std::move(arrival));
  waiting_[number] = waiting;
  ++in_flight_;
  waiting->timer.expires_at(std::min<TimePoint>(
      waiting->arrival.arrived + kMaxSlotWait, waiting->arrival.deadline));
  waiting->timer.async_wait([weak = weak_from_this(), number](auto error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->RejectWaiting(number, "the store did not answer in time",
                          kNoStoreRetryDelay);
    }
  });
  hooks_.take_slot(digest, slots,
                   [weak = weak_from_this(),
                    number](const Result<std::optional<CrashSlot>>& slot) {
                     if (const auto self = weak.lock()) {
                       self->RunStep(number, [&self, number, &slot] {
                         self->OnSlot(number, slot);
                       });
                     }
                   });
}

void RequestRouter::OnSlot(uint64_t number,
                           const Result<std::optional<CrashSlot>>& slot) {
  const auto found = waiting_.find(number);
  const bool is_taken = slot && *slot;
  if (found == waiting_.end()) {
    if (is_taken) {
      hooks_.on_slot_ended(**slot, SlotUse::kUnused);
    }
    return;
  }
  if (!slot) {
    RejectWaiting(number, "the store cannot be asked for a slot",
                  kNoStoreRetryDelay);
    return;
  }
  if (!is_taken) {
    RejectWaiting(number, "other copies of it are under way",
                  suspects_->deferral_time());
    return;
  }
  const SuspectVerdict verdict =
      suspects_->Judge(Now(), found->second->arrival.digest);
  if (verdict.decision == SuspectDecision::kReject) {
    hooks_.on_slot_ended(**slot, SlotUse::kUnused);
    RejectWaiting(number, "too many searchers have ended by now",
                  verdict.retry_after);
    return;
  }
  const std::shared_ptr<WaitingRequest> waiting = TakeWaiting(number);
  Launch(number, std::move(waiting->arrival), *slot);
}

std::shared_ptr<RequestRouter::WaitingRequest> RequestRouter::TakeWaiting(
    uint64_t number) {
  auto node = waiting_.extract(number);
  if (node.empty()) {
    return nullptr;
  }
  node.mapped()->timer.cancel();
  --in_flight_;
  return std::move(node.mapped());
}

std::shared_ptr<RequestRouter::WaitingRequest> RequestRouter::DropWaiting(
    uint64_t number) {
  auto waiting = TakeWaiting(number);
  if (waiting) {
    suspects_->Release(waiting->arrival.digest);
  }
  return waiting;
}

void RequestRouter::RejectWaiting(uint64_t number,
                                  const std::string& detail,
                                  Duration retry_delay) {
  const std::shared_ptr<WaitingRequest> waiting = DropWaiting(number);
  if (!waiting) {
    return;
  }
  const Arrival& arrival = waiting->arrival;
  Reject(
      arrival.caller.id, arrival.exchange,
      Failure{FailureKind::kUnavailable, "request " + ToString(arrival.digest),
              std::string(kSuspectDetail) + ", and " + detail},
      retry_delay);
}

SuspectVerdict RequestRouter::JudgeSend(TimePoint now,
                                        const ActiveRequest& active) const {
  return suspects_->JudgeSend(now, active.digest, active.caller.id,
                              active.slot.has_value());
}

// The slot counts as used up until the searchers that did not answer are known
// to run.
void RequestRouter::EndSlot(const std::shared_ptr<ActiveRequest>& active) {
  if (!active->slot) {
    return;
  }
  std::vector<AttemptEnd> ends;
  for (const AttemptRecord& attempt_record : active->attempt_records) {
    ends.push_back(attempt_record.end.value_or(AttemptEnd::kAbandoned));
  }
  const SlotUse use = UseOf(ends, active->searcher_ended);
  hooks_.on_slot_ended(*active->slot, use);
  if (use != SlotUse::kUsedUp || active->searcher_ended) {
    return;
  }
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(context_, kSlotCheckDelay);
  timer->async_wait([weak = weak_from_this(), timer, active](auto error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->CheckSlot(active);
    }
  });
}

void RequestRouter::CheckSlot(const std::shared_ptr<ActiveRequest>& active) {
  active->checks = active->unanswered.size();
  for (const RoutedSearcherPtr& searcher : active->unanswered) {
    clients_->CheckEnded(
        *searcher, [weak = weak_from_this(), active, searcher](bool ended) {
          const auto self = weak.lock();
          active->searcher_ended = active->searcher_ended || ended;
          if (self && --active->checks == 0 && !active->searcher_ended) {
            self->hooks_.on_slot_ended(*active->slot, SlotUse::kUnused);
          }
        });
  }
}

void RequestRouter::CheckForCrash(std::shared_ptr<ActiveRequest> active,
                                  const RoutedSearcherPtr& searcher) {
  const SearcherEntry& entry = searcher->entry();
  CrashReport report{active->digest, active->caller.id, entry.service, entry.id,
                     entry.started};
  clients_->CheckEnded(*searcher,
                       [weak = weak_from_this(), active = std::move(active),
                        report = std::move(report)](bool ended) {
                         const auto self = weak.lock();
                         if (self && ended) {
                           self->OnSearcherCrashed(*active, report);
                         }
                       });
}

void RequestRouter::OnSearcherCrashed(ActiveRequest& active,
                                      const CrashReport& report) {
  active.searcher_ended = true;
  metrics_->searchers_crashed.Add();
  LogLine(DecisionEvent::kSearcherCrashed)
      .Add("request_id", report.request_id)
      .Add("digest", ToString(report.digest))
      .Add("service", report.service)
      .Add("searcher", report.searcher)
      .Add("started_ms", report.started.count())
      .Write();
  CrashedRequest request;
  request.lost_everywhere = active.plan->WasLostEverywhere();
  for (const AttemptRecord& attempt_record : active.attempt_records) {
    request.sent_to.push_back(attempt_record.searcher);
  }
  hooks_.on_crash(report, std::move(request));
}

}  // namespace greengage
