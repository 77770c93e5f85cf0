#include "greengage/transport/peer_service.h"

#include <vector>

#include "greengage/protocol/peer_codec.h"
#include "greengage/transport/sub_request_router.h"
#include "transport/clock.h"

namespace greengage {

// The sub-requests of one stream, from their arrival until the last answer.
class PeerService::Batch : public std::enable_shared_from_this<Batch> {
 public:
  Batch(std::shared_ptr<PeerService> service,
        std::string request_id,
        std::shared_ptr<PeerStream> stream)
      : service_(std::move(service)),
        request_id_(std::move(request_id)),
        stream_(std::move(stream)) {}

  ~Batch() { service_->RemoveExpiredBatches(request_id_); }

  void Submit(std::vector<SubRequest> requests) {
    {
      const std::lock_guard lock(mutex_);
      unanswered_ = requests.size();
    }
    for (SubRequest& request : requests) {
      const uint64_t id = request.id;
      const Endpoint searcher = request.searcher;
      const SubmissionId submission = service_->owner_service_->Submit(
          std::move(request),
          [self = shared_from_this()](const SubAnswer& answer) {
            self->OnAnswer(answer);
          });
      const std::lock_guard lock(mutex_);
      submissions_.push_back(Submission{id, searcher, submission});
    }
  }

  void Cancel(uint64_t id) {
    for (const Submission& submission : Submissions()) {
      if (submission.id == id) {
        service_->owner_service_->Cancel(submission.searcher,
                                         submission.submission);
      }
    }
  }

  void CancelAll() {
    for (const Submission& submission : Submissions()) {
      service_->owner_service_->Cancel(submission.searcher,
                                       submission.submission);
    }
  }

 private:
  struct Submission {
    uint64_t id;
    Endpoint searcher;
    SubmissionId submission;
  };

  std::vector<Submission> Submissions() {
    const std::lock_guard lock(mutex_);
    return submissions_;
  }

  void OnAnswer(const SubAnswer& answer) {
    stream_->Send(SerializeSubAnswer(answer, service_->clock_->Now(NowWall())));
    const std::lock_guard lock(mutex_);
    if (--unanswered_ == 0) {
      stream_->Finish();
    }
  }

  const std::shared_ptr<PeerService> service_;
  const std::string request_id_;
  const std::shared_ptr<PeerStream> stream_;
  std::mutex mutex_;
  size_t unanswered_ = 0;
  std::vector<Submission> submissions_;
};

PeerService::PeerService(OwnerService* owner_service,
                         HybridClock* clock,
                         ConfigurationHook on_configuration,
                         LeavingHook on_leaving)
    : owner_service_(owner_service),
      clock_(clock),
      on_configuration_(std::move(on_configuration)),
      on_leaving_(std::move(on_leaving)) {}

void PeerService::Handle(const std::string& path,
                         const std::string& message,
                         const std::shared_ptr<PeerStream>& stream) {
  if (path == kSubRequestsPath) {
    HandleSubRequests(message, stream);
  } else if (path == kCancelPath) {
    HandleCancel(message, stream);
  } else if (path == kConfigurationPath) {
    HandleConfiguration(message, stream);
  } else if (path == kLeavingSearchersPath) {
    HandleLeavingSearchers(message, stream);
  } else {
    stream->Refuse();
  }
}

void PeerService::HandleSubRequests(const std::string& message,
                                    const std::shared_ptr<PeerStream>& stream) {
  Result<SubBatch> parsed = ParseSubBatch(message, Now());
  if (!parsed || parsed->requests.empty()) {
    stream->Refuse();
    return;
  }
  clock_->Observe(parsed->stamp, NowWall());
  const std::string request_id = parsed->requests.front().request_id;
  const auto batch =
      std::make_shared<Batch>(shared_from_this(), request_id, stream);
  {
    const std::lock_guard lock(mutex_);
    batches_.emplace(request_id, batch);
  }
  // If the entry instance disconnects or cancels the stream, the owner cancels
  // the sub-requests. The hook also keeps the batch alive as long as the
  // stream.
  stream->OnCancelled([batch] { batch->CancelAll(); });
  batch->Submit(std::move(parsed->requests));
}

void PeerService::RemoveExpiredBatches(const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  const auto [begin, end] = batches_.equal_range(request_id);
  for (auto entry = begin; entry != end;) {
    entry = entry->second.expired() ? batches_.erase(entry) : std::next(entry);
  }
}

void PeerService::HandleCancel(const std::string& message,
                               const std::shared_ptr<PeerStream>& stream) {
  stream->Finish();
  const Result<SubBatch> parsed = ParseSubBatch(message, Now());
  if (!parsed) {
    return;
  }
  for (const SubRequest& request : parsed->requests) {
    std::vector<std::shared_ptr<Batch>> found;
    {
      const std::lock_guard lock(mutex_);
      const auto [begin, end] = batches_.equal_range(request.request_id);
      for (auto entry = begin; entry != end; ++entry) {
        found.push_back(entry->second.lock());
      }
    }
    for (const std::shared_ptr<Batch>& batch : found) {
      if (batch) {
        batch->Cancel(request.id);
      }
    }
  }
}

void PeerService::HandleConfiguration(
    const std::string& message,
    const std::shared_ptr<PeerStream>& stream) {
  std::optional<std::string> reply = on_configuration_(message);
  if (!reply) {
    stream->Refuse();
    return;
  }
  stream->Send(std::move(*reply));
  stream->Finish();
}

void PeerService::HandleLeavingSearchers(
    const std::string& message,
    const std::shared_ptr<PeerStream>& stream) {
  stream->Finish();
  const Result<std::vector<Endpoint>> searchers =
      ParseLeavingSearchers(message);
  if (!searchers) {
    return;
  }
  for (const Endpoint& searcher : *searchers) {
    on_leaving_(searcher);
  }
}

}  // namespace greengage
