#include "greengage/protocol/peer_codec.h"

#include <algorithm>

#include "protocol/endpoint_codec.h"
#include "protocol/peer.pb.h"

namespace greengage {
namespace {

using std::chrono::microseconds;

uint64_t ToMicroseconds(Duration duration) {
  const auto count = std::chrono::duration_cast<microseconds>(duration).count();
  return static_cast<uint64_t>(std::max<int64_t>(count, 0));
}

void WriteStamp(HybridTime time, wire::Stamp* stamp) {
  stamp->set_milliseconds(time.milliseconds);
  stamp->set_counter(time.counter);
}

HybridTime ReadStamp(const wire::Stamp& stamp) {
  return HybridTime{stamp.milliseconds(), stamp.counter()};
}

Endpoint ReadEndpoint(const wire::Endpoint& endpoint) {
  return Endpoint{endpoint.host(), static_cast<uint16_t>(endpoint.port())};
}

Failure Malformed(std::string subject) {
  return Failure{FailureKind::kMalformedMessage, std::move(subject),
                 "not a message of this protocol"};
}

// Reads the fields that all sub-requests of a batch have in common.
SubRequest ReadCommonFields(const wire::SubBatch& batch, TimePoint now) {
  SubRequest request;
  request.request_id = batch.request_id();
  request.service = batch.service();
  request.index_version = batch.index_version();
  request.configuration_version = batch.configuration_version();
  request.rank = static_cast<Rank>(batch.rank());
  request.idempotent = batch.idempotent();
  request.limit = batch.limit();
  request.text = batch.text();
  request.deadline = now + microseconds(batch.time_left_us());
  if (batch.has_key()) {
    request.key = batch.key();
  }
  return request;
}

void WriteLoad(const SearcherLoad& load, wire::SearcherLoad* written) {
  written->set_running(load.running);
  written->set_queued(load.queued);
  written->set_oldest_version(load.oldest_version);
  written->set_newest_version(load.newest_version);
  written->set_draining(load.draining);
}

SearcherLoad ReadLoad(const wire::SearcherLoad& load) {
  return SearcherLoad{load.running(), load.queued(), load.oldest_version(),
                      load.newest_version(), load.draining()};
}

}  // namespace

std::string SerializeSubBatch(const SubBatch& batch, TimePoint now) {
  const SubRequest& first = batch.requests.front();
  wire::SubBatch message;
  WriteStamp(batch.stamp, message.mutable_stamp());
  message.set_request_id(first.request_id);
  message.set_service(first.service);
  message.set_index_version(first.index_version);
  message.set_configuration_version(first.configuration_version);
  message.set_rank(static_cast<uint32_t>(IndexOf(first.rank)));
  message.set_idempotent(first.idempotent);
  message.set_limit(first.limit);
  message.set_text(first.text);
  message.set_time_left_us(ToMicroseconds(first.deadline - now));
  if (first.key) {
    message.set_key(*first.key);
  }
  for (const SubRequest& request : batch.requests) {
    wire::SubItem* item = message.add_items();
    item->set_id(request.id);
    item->set_shard(request.shard);
    EncodeEndpoint(request.searcher, item->mutable_searcher());
    item->set_range_begin(request.range.begin);
    item->set_range_end(request.range.end);
  }
  return message.SerializeAsString();
}

Result<SubBatch> ParseSubBatch(std::string_view message, TimePoint now) {
  wire::SubBatch read;
  if (!read.ParseFromArray(message.data(), static_cast<int>(message.size())) ||
      read.rank() >= kRankCount) {
    return Malformed("sub_batch");
  }
  SubBatch batch;
  batch.stamp = ReadStamp(read.stamp());
  const SubRequest common = ReadCommonFields(read, now);
  batch.requests.reserve(static_cast<size_t>(read.items_size()));
  for (const wire::SubItem& item : read.items()) {
    SubRequest& request = batch.requests.emplace_back(common);
    request.id = item.id();
    request.shard = item.shard();
    request.searcher = ReadEndpoint(item.searcher());
    request.range = KeyRange{item.range_begin(), item.range_end()};
  }
  return batch;
}

std::string SerializeSubAnswer(const SubAnswer& answer, HybridTime stamp) {
  wire::SubAnswer message;
  WriteStamp(stamp, message.mutable_stamp());
  message.set_id(answer.id);
  message.set_request_id(answer.request_id);
  EncodeEndpoint(answer.searcher, message.mutable_searcher());
  message.set_outcome(static_cast<uint32_t>(answer.outcome));
  message.set_refusal(static_cast<uint32_t>(answer.refusal));
  message.set_range_begin(answer.range.begin);
  message.set_range_end(answer.range.end);
  message.set_index_version(answer.index_version);
  for (const Hit& hit : answer.hits) {
    wire::Hit* written = message.add_hits();
    written->set_key(hit.key);
    written->set_score(hit.score);
    written->set_text(hit.text);
  }
  if (answer.load) {
    WriteLoad(*answer.load, message.mutable_load());
  }
  message.set_retry_after_us(ToMicroseconds(answer.retry_after));
  message.set_service_time_us(ToMicroseconds(answer.service_time));
  message.set_queue_time_us(ToMicroseconds(answer.queue_time));
  return message.SerializeAsString();
}

Result<StampedSubAnswer> ParseSubAnswer(std::string_view message) {
  wire::SubAnswer read;
  if (!read.ParseFromArray(message.data(), static_cast<int>(message.size())) ||
      read.outcome() > static_cast<uint32_t>(Outcome::kUnknown) ||
      read.refusal() > static_cast<uint32_t>(Refusal::kNotReady)) {
    return Malformed("sub_answer");
  }
  StampedSubAnswer stamped;
  stamped.stamp = ReadStamp(read.stamp());
  SubAnswer& answer = stamped.answer;
  answer.id = read.id();
  answer.request_id = read.request_id();
  answer.searcher = ReadEndpoint(read.searcher());
  answer.outcome = static_cast<Outcome>(read.outcome());
  answer.refusal = static_cast<Refusal>(read.refusal());
  answer.range = KeyRange{read.range_begin(), read.range_end()};
  answer.index_version = read.index_version();
  answer.hits.reserve(static_cast<size_t>(read.hits_size()));
  for (wire::Hit& hit : *read.mutable_hits()) {
    answer.hits.push_back(
        Hit{hit.key(), hit.score(), std::move(*hit.mutable_text())});
  }
  if (read.has_load()) {
    answer.load = ReadLoad(read.load());
  }
  answer.retry_after = microseconds(read.retry_after_us());
  answer.service_time = microseconds(read.service_time_us());
  answer.queue_time = microseconds(read.queue_time_us());
  return stamped;
}

std::string SerializeLeavingSearchers(const std::vector<Endpoint>& searchers,
                                      HybridTime stamp) {
  wire::LeavingSearchers message;
  WriteStamp(stamp, message.mutable_stamp());
  for (const Endpoint& searcher : searchers) {
    EncodeEndpoint(searcher, message.add_searchers());
  }
  return message.SerializeAsString();
}

Result<std::vector<Endpoint>> ParseLeavingSearchers(std::string_view message) {
  wire::LeavingSearchers read;
  if (!read.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
    return Malformed("leaving_searchers");
  }
  std::vector<Endpoint> searchers;
  for (const wire::Endpoint& searcher : read.searchers()) {
    searchers.push_back(ReadEndpoint(searcher));
  }
  return searchers;
}

}  // namespace greengage
