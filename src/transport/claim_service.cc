#include "greengage/transport/claim_service.h"
#include "transport/clock.h"
#include "transport/random_base.h"

#include <boost/asio.hpp>

#include <mutex>
#include <utility>

namespace greengage {
namespace {

// Retry delay of a request rejected because too many claims are in flight.
constexpr std::chrono::milliseconds kOverloadRetryDelay{500};

ClaimLimits LimitsOf(const Configuration& configuration) {
  return ClaimLimits{configuration.limits.claim_retention,
                     configuration.limits.clock_skew};
}

// A non-idempotent query has one shard, so its answer corresponds to one
// sub-answer.
SubAnswer ToSubAnswer(const Answer& answer) {
  SubAnswer sub_answer;
  sub_answer.request_id = answer.request_id;
  sub_answer.outcome = answer.outcome;
  sub_answer.refusal = answer.refusal;
  sub_answer.index_version = answer.index_version;
  sub_answer.hits = answer.hits;
  sub_answer.retry_after = answer.retry_after;
  if (!answer.covered.empty()) {
    sub_answer.range = answer.covered.front();
  }
  return sub_answer;
}

Answer EmptyAnswer(const Query& query, const Configuration& configuration) {
  Answer answer;
  answer.request_id = query.request_id;
  answer.service = query.service;
  answer.rank = query.rank;
  answer.configuration_version = configuration.version;
  return answer;
}

Answer ToAnswer(const Query& query,
                const Configuration& configuration,
                const ReplyToCaller& verdict) {
  Answer answer = EmptyAnswer(query, configuration);
  answer.outcome = verdict.outcome;
  answer.refusal = verdict.refusal;
  answer.retry_after = verdict.retry_after;
  if (verdict.answer) {
    answer.index_version = verdict.answer->index_version;
    answer.hits = verdict.answer->hits;
    answer.covered.push_back(verdict.answer->range);
  }
  return answer;
}

}  // namespace

// Drives one ClaimMachine. The machine is used under the lock. Its actions are
// executed after the lock is released.
class ClaimService::ActiveClaim
    : public std::enable_shared_from_this<ActiveClaim> {
 public:
  ActiveClaim(ClaimService* service,
              Query query,
              ConfigurationPtr configuration,
              WallTime request_time,
              Callback done)
      : service_(service),
        query_(std::move(query)),
        configuration_(std::move(configuration)),
        name_(ClaimName(query_.service, query_.request_id)),
        done_(std::move(done)),
        deadline_timer_(service->context_),
        delay_timer_(service->context_),
        machine_(request_time,
                 LimitsOf(*configuration_),
                 service->MakeToken(),
                 service->instance_) {
    ++service_->in_flight_;
  }

  ~ActiveClaim() { --service_->in_flight_; }

  void Start() {
    deadline_timer_.expires_at(query_.deadline);
    deadline_timer_.async_wait([weak = weak_from_this()](auto error) {
      const auto self = weak.lock();
      if (!error && self) {
        self->Advance([](ClaimMachine& machine, WallTime now) {
          return machine.OnDeadline(now);
        });
      }
    });
    Advance(
        [](ClaimMachine& machine, WallTime now) { return machine.Start(now); });
  }

 private:
  using Step = std::function<std::vector<ClaimAction>(ClaimMachine&, WallTime)>;

  void Advance(const Step& step) {
    std::vector<ClaimAction> actions;
    {
      const std::lock_guard lock(mutex_);
      actions = step(machine_, NowWall());
    }
    for (const ClaimAction& action : actions) {
      std::visit([this](const auto& selected) { Execute(selected); }, action);
    }
  }

  void RunAfter(std::chrono::milliseconds delay, std::function<void()> action) {
    if (delay.count() == 0) {
      action();
      return;
    }
    delay_timer_.expires_after(delay);
    delay_timer_.async_wait([self = shared_from_this(),
                             action = std::move(action)](auto) { action(); });
  }

  void Execute(const WriteClaim& write) {
    RunAfter(write.delay, [self = shared_from_this(), write] {
      self->service_->hooks_.write(
          self->name_, write.expected, write.record,
          [self, state = write.record.state](const ClaimWriteResult& result) {
            self->OnWritten(state, result);
          });
    });
  }

  void OnWritten(ClaimState state, const ClaimWriteResult& result) {
    if (result.kind == ClaimWriteResult::Kind::kWritten) {
      const bool created = state == ClaimState::kClaimed;
      Record(created ? EventKind::kClaimCreated : EventKind::kClaimSettled,
             std::string(ClaimStateName(state)));
      if (created) {
        service_->metrics_->claims_created.Add();
      }
    }
    Advance([&result](ClaimMachine& machine, WallTime now) {
      return machine.OnWrite(result, now);
    });
  }

  void Execute(const ReadClaim& read) {
    RunAfter(read.delay, [self = shared_from_this()] {
      self->service_->hooks_.read(
          self->name_, [self](const ClaimReadResult& result) {
            self->Advance([&result](ClaimMachine& machine, WallTime now) {
              return machine.OnRead(result, now);
            });
          });
    });
  }

  void Execute(const SendRequest&) {
    service_->hooks_.send(
        query_, configuration_, [self = shared_from_this()](Answer answer) {
          self->Advance([&answer](ClaimMachine& machine, WallTime now) {
            return machine.OnSubAnswer(ToSubAnswer(answer), now);
          });
        });
  }

  void Execute(const ReplyToCaller& verdict) {
    if (verdict.refusal == Refusal::kAlreadyClaimed) {
      service_->metrics_->claims_lost.Add();
      Record(EventKind::kClaimLost, "");
    }
    std::exchange(done_, nullptr)(ToAnswer(query_, *configuration_, verdict));
  }

  void Record(EventKind kind, std::string detail) {
    service_->events_->Record(NowWall(), kind, query_.request_id, name_,
                              std::move(detail));
  }

  ClaimService* const service_;
  const Query query_;
  const ConfigurationPtr configuration_;
  const std::string name_;
  Callback done_;
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer delay_timer_;
  std::mutex mutex_;
  ClaimMachine machine_;
};

ClaimService::ClaimService(boost::asio::io_context& context,
                           std::string instance,
                           ClaimHooks hooks,
                           EventLog* events,
                           Metrics* metrics)
    : context_(context),
      instance_(std::move(instance)),
      hooks_(std::move(hooks)),
      events_(events),
      metrics_(metrics),
      token_base_(RandomBase()) {}

std::string ClaimService::MakeToken() {
  return instance_ + "." + std::to_string(token_base_) + "." +
         std::to_string(next_token_++);
}

void ClaimService::Run(Query query,
                       ConfigurationPtr configuration,
                       Callback done) {
  const Result<WallTime> request_time = RequestIdTime(query.request_id);
  if (!request_time || in_flight_ >= kMaxInFlight) {
    Answer answer = EmptyAnswer(query, *configuration);
    answer.outcome = Outcome::kNotRun;
    answer.refusal =
        request_time ? Refusal::kOverloaded : Refusal::kRequestExpired;
    answer.retry_after = kOverloadRetryDelay;
    done(std::move(answer));
    return;
  }
  const auto active = std::make_shared<ActiveClaim>(
      this, std::move(query), std::move(configuration), *request_time,
      std::move(done));
  active->Start();
}

}  // namespace greengage
