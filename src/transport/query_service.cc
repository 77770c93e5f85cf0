#include "greengage/transport/query_service.h"
#include "transport/clock.h"

#include <boost/asio.hpp>

#include <mutex>
#include <unordered_map>

namespace greengage {
namespace {

EventKind EventOf(SendReason reason) {
  switch (reason) {
    case SendReason::kHedge:
      return EventKind::kSubRequestHedged;
    case SendReason::kRetry:
      return EventKind::kSubRequestRetried;
    case SendReason::kFirst:
    case SendReason::kRerun:
      break;
  }
  return EventKind::kSubRequestSent;
}

}  // namespace

// Drives one QueryPlan. The plan is used under the lock. Its actions are
// executed after the lock is released, so that no callback runs under the lock.
class QueryService::ActiveQuery
    : public RunningQuery,
      public std::enable_shared_from_this<ActiveQuery> {
 public:
  ActiveQuery(QueryService* service,
              Query query,
              ConfigurationPtr configuration,
              Callback done)
      : service_(service),
        plan_(std::move(query),
              std::move(configuration),
              service->plans_,
              service->next_seed_++),
        done_(std::move(done)),
        timer_(service->context_) {
    ++service_->in_flight_;
  }

  ~ActiveQuery() override { --service_->in_flight_; }

  void Start() {
    Advance([](QueryPlan& plan, TimePoint now) { return plan.Start(now); });
  }

  void Abandon() override {
    QueryActions actions;
    {
      const std::lock_guard lock(mutex_);
      if (plan_.done() || !plan_.query().idempotent) {
        return;
      }
      actions = plan_.Abandon(Now());
      timer_.cancel();
    }
    ExecuteActions(std::move(actions));
    Answer answer;
    answer.request_id = plan_.query().request_id;
    answer.service = plan_.query().service;
    answer.rank = plan_.query().rank;
    answer.refusal = Refusal::kCancelled;
    Finish(std::move(answer));
  }

 private:
  using Step = std::function<QueryActions(QueryPlan&, TimePoint)>;

  void Advance(const Step& step) {
    QueryActions actions;
    {
      const std::lock_guard lock(mutex_);
      if (plan_.done()) {
        return;
      }
      actions = step(plan_, Now());
      ArmTimer();
    }
    ExecuteActions(std::move(actions));
  }

  // Requires mutex_ to be held.
  void ArmTimer() {
    if (plan_.done()) {
      timer_.cancel();
      return;
    }
    if (plan_.next_timer() >= armed_for_) {
      return;  // If the timer fires too early, OnTimer() arms it again.
    }
    armed_for_ = plan_.next_timer();
    timer_.expires_at(armed_for_);
    timer_.async_wait([self = shared_from_this()](auto error) {
      if (!error) {
        self->OnTimer();
      }
    });
  }

  void OnTimer() {
    {
      const std::lock_guard lock(mutex_);
      armed_for_ = TimePoint::max();
    }
    Advance([](QueryPlan& plan, TimePoint now) {
      return now >= plan.next_timer() ? plan.OnTimer(now) : QueryActions{};
    });
  }

  void OnSubAnswer(SubAnswer answer) {
    service_->admission_->OnSubAnswer(Now(), plan_.query().service,
                                      plan_.query().rank, answer);
    {
      const std::lock_guard lock(mutex_);
      routes_.erase(answer.id);
    }
    Advance([&answer](QueryPlan& plan, TimePoint now) {
      return plan.OnSubAnswer(now, std::move(answer));
    });
  }

  void ExecuteActions(QueryActions actions) {
    std::vector<SubRequest> to_send;
    for (QueryAction& action : actions) {
      if (auto* send = std::get_if<SendAction>(&action)) {
        Record(EventOf(send->reason), ToString(send->request.searcher),
               send->request.shard);
        service_->on_send_(send->request, send->reason);
        to_send.push_back(std::move(send->request));
      } else if (const auto* cancel = std::get_if<CancelAction>(&action)) {
        Cancel(cancel->id);
      } else if (const auto* rerun = std::get_if<RerunAction>(&action)) {
        Record(EventKind::kQueryRerun, std::to_string(rerun->to_version),
               "from " + std::to_string(rerun->from_version));
      }
    }
    SendAll(std::move(to_send));
    if (!actions.empty()) {
      if (auto* answer = std::get_if<AnswerAction>(&actions.back())) {
        Finish(std::move(answer->answer));
      }
    }
  }

  void SendAll(std::vector<SubRequest> requests) {
    if (requests.empty()) {
      return;
    }
    std::vector<SubRequestRoute> routes = service_->router_->Send(
        std::move(requests), [self = shared_from_this()](SubAnswer answer) {
          self->OnSubAnswer(std::move(answer));
        });
    const std::lock_guard lock(mutex_);
    if (plan_.done()) {
      return;
    }
    for (SubRequestRoute& route : routes) {
      routes_.emplace(route.request.id, std::move(route));
    }
  }

  void Cancel(uint64_t id) {
    std::optional<SubRequestRoute> route;
    {
      const std::lock_guard lock(mutex_);
      auto node = routes_.extract(id);
      if (!node.empty()) {
        route = std::move(node.mapped());
      }
    }
    if (route) {
      service_->router_->Cancel(*route);
    }
  }

  void Record(EventKind kind, std::string subject, std::string detail) {
    service_->events_->Record(NowWall(), kind, plan_.query().request_id,
                              std::move(subject), std::move(detail));
  }

  void Finish(Answer answer) {
    service_->admission_->OnEnded(Now(), plan_.query(), answer);
    Record(EventKind::kQueryAnswered, answer.service,
           std::string(OutcomeName(answer.outcome)));
    done_(std::move(answer));
  }

  QueryService* const service_;
  std::mutex mutex_;
  QueryPlan plan_;
  Callback done_;
  boost::asio::steady_timer timer_;
  TimePoint armed_for_ = TimePoint::max();
  std::unordered_map<uint64_t, SubRequestRoute> routes_;
};

QueryService::QueryService(boost::asio::io_context& context,
                           QueryContext* plans,
                           Admission* admission,
                           std::shared_ptr<SubRequestRouter> router,
                           EventLog* events,
                           SendHook on_send)
    : context_(context),
      plans_(plans),
      admission_(admission),
      router_(std::move(router)),
      events_(events),
      on_send_(std::move(on_send)) {}

std::shared_ptr<RunningQuery> QueryService::Run(Query query,
                                                ConfigurationPtr configuration,
                                                Callback done) {
  const auto rejection = admission_->Admit(Now(), query);
  if (rejection) {
    events_->Record(NowWall(), EventKind::kQueryRefused, query.request_id,
                    query.service,
                    std::string(RefusalName(rejection->refusal)));
    Answer answer;
    answer.request_id = query.request_id;
    answer.service = query.service;
    answer.rank = query.rank;
    answer.outcome = Outcome::kNotRun;
    answer.refusal = rejection->refusal;
    answer.configuration_version = configuration->version;
    answer.retry_after = rejection->retry_after;
    done(std::move(answer));
    return nullptr;
  }
  events_->Record(NowWall(), EventKind::kQueryAdmitted, query.request_id,
                  query.service);
  const auto active = std::make_shared<ActiveQuery>(
      this, std::move(query), std::move(configuration), std::move(done));
  active->Start();
  return active;
}

}  // namespace greengage
