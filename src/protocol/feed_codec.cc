#include "greengage/protocol/feed_codec.h"

#include <chrono>
#include <optional>
#include <utility>

#include "protocol/endpoint_codec.h"
#include "protocol/peer.pb.h"

namespace greengage {
namespace {

using std::chrono::milliseconds;

// Longest time on a page; larger values could overflow a time point.
constexpr int64_t kMaxTimeMs = int64_t{24} * 3600 * 1000;

void Write(const StoreRevision& revision, wire::StoreRevision* written) {
  written->set_era(revision.era);
  written->set_number(revision.number);
}

StoreRevision Read(const wire::StoreRevision& message) {
  return {message.era(), message.number()};
}

void Write(const FeedObject& object, wire::FeedObject* written) {
  written->set_kind(static_cast<uint32_t>(object.kind));
  written->set_name(object.name);
  Write(object.revision, written->mutable_revision());
  written->set_removed(object.removed);
  if (const auto* text = std::get_if<ConfigurationText>(&object.value)) {
    written->set_configuration(text->text);
  } else if (const auto* entry = std::get_if<SearcherEntry>(&object.value)) {
    wire::FeedSearcher* const searcher = written->mutable_searcher();
    searcher->set_service(entry->service);
    EncodeEndpoint(entry->endpoint, searcher->mutable_endpoint());
    searcher->set_data_centre(entry->data_centre);
    searcher->set_slots(entry->slots);
    searcher->set_draining(entry->draining);
    searcher->set_warm_up_left_ms(entry->warm_up_left.count());
    searcher->set_started_ms(entry->started.count());
    searcher->set_report(entry->report);
  } else if (const auto* record = std::get_if<InstanceRecord>(&object.value)) {
    wire::FeedInstance* const instance = written->mutable_instance();
    instance->set_data_centre(record->data_centre);
    EncodeEndpoint(record->peer, instance->mutable_peer());
    instance->set_capacity(record->capacity);
    instance->set_is_stopped(record->is_stopped);
  } else if (const auto* report = std::get_if<CrashReport>(&object.value)) {
    wire::FeedCrashReport* const crash = written->mutable_crash_report();
    crash->set_digest(ToString(report->digest));
    crash->set_request_id(report->request_id);
    crash->set_service(report->service);
    crash->set_searcher(report->searcher);
    crash->set_started_ms(report->started.count());
  } else if (std::holds_alternative<Evacuation>(object.value)) {
    written->set_evacuation(true);
  }
}

// Returns nothing for an end point that nobody can connect to.
std::optional<Endpoint> Read(const wire::Endpoint& message) {
  const std::optional<Endpoint> endpoint = DecodeEndpoint(message);
  return endpoint && !endpoint->host.empty() && endpoint->port != 0
             ? endpoint
             : std::nullopt;
}

std::optional<SearcherEntry> Read(const std::string& id,
                                  const wire::FeedSearcher& message) {
  const std::optional<Endpoint> endpoint = Read(message.endpoint());
  if (!endpoint || message.service().empty() || message.warm_up_left_ms() < 0 ||
      message.warm_up_left_ms() > kMaxTimeMs) {
    return std::nullopt;
  }
  SearcherEntry entry;
  entry.id = id;
  entry.service = message.service();
  entry.endpoint = *endpoint;
  entry.data_centre = message.data_centre();
  entry.slots = message.slots();
  entry.draining = message.draining();
  entry.warm_up_left = milliseconds(message.warm_up_left_ms());
  entry.started = milliseconds(message.started_ms());
  entry.report = message.report();
  return entry;
}

std::optional<InstanceRecord> Read(const std::string& id,
                                   const wire::FeedInstance& message) {
  const std::optional<Endpoint> peer = Read(message.peer());
  if (!peer) {
    return std::nullopt;
  }
  return InstanceRecord{id, message.data_centre(), *peer, message.capacity(),
                        message.is_stopped()};
}

std::optional<CrashReport> Read(const wire::FeedCrashReport& message) {
  const auto digest = ParseRequestDigest(message.digest());
  if (!digest) {
    return std::nullopt;
  }
  return CrashReport{*digest, message.request_id(), message.service(),
                     message.searcher(), milliseconds(message.started_ms())};
}

// Returns nothing for an object of a kind that this version does not know. An
// object whose value is invalid has no value.
std::optional<FeedObject> Read(const wire::FeedObject& message) {
  if (message.kind() >= kFeedKinds || message.name().empty()) {
    return std::nullopt;
  }
  FeedObject object;
  object.kind = static_cast<FeedKind>(message.kind());
  object.name = message.name();
  object.revision = Read(message.revision());
  object.removed = message.removed();
  FeedKind kind_of_value = object.kind;
  switch (message.value_case()) {
    case wire::FeedObject::kConfiguration:
      kind_of_value = FeedKind::kConfiguration;
      object.value = ConfigurationText{message.configuration()};
      break;
    case wire::FeedObject::kSearcher: {
      kind_of_value = FeedKind::kSearcher;
      auto entry = Read(object.name, message.searcher());
      if (entry) {
        object.value = *std::move(entry);
      }
      break;
    }
    case wire::FeedObject::kInstance: {
      kind_of_value = FeedKind::kInstance;
      auto record = Read(object.name, message.instance());
      if (record) {
        object.value = *std::move(record);
      }
      break;
    }
    case wire::FeedObject::kCrashReport: {
      kind_of_value = FeedKind::kCrashReport;
      auto report = Read(message.crash_report());
      if (report) {
        object.value = *std::move(report);
      }
      break;
    }
    case wire::FeedObject::kEvacuation:
      kind_of_value = FeedKind::kEvacuation;
      object.value = Evacuation{object.name};
      break;
    case wire::FeedObject::VALUE_NOT_SET:
      break;
  }
  return kind_of_value == object.kind ? std::optional(std::move(object))
                                      : std::nullopt;
}

}  // namespace

std::string SerializeFeedPage(const FeedPage& page) {
  wire::FeedPage written;
  written.set_epoch(page.epoch);
  written.set_sequence(page.sequence);
  written.set_complete(page.complete);
  written.set_age_ms(ToMilliseconds(page.age).count());
  Write(page.searchers_revision, written.mutable_searchers_revision());
  written.set_has_evacuations(page.has_evacuations);
  for (const FeedObject& object : page.objects) {
    const bool is_newer = object.kind == FeedKind::kCrashReport ||
                          object.kind == FeedKind::kEvacuation;
    Write(object,
          is_newer ? written.add_newer_objects() : written.add_objects());
  }
  return written.SerializeAsString();
}

Result<FeedPage> ParseFeedPage(std::string_view message) {
  const Failure malformed{FailureKind::kMalformedMessage, "feed page",
                          "not a valid page"};
  wire::FeedPage read;
  if (!read.ParseFromArray(message.data(), static_cast<int>(message.size())) ||
      !read.has_searchers_revision() || read.age_ms() < 0 ||
      read.age_ms() > kMaxTimeMs) {
    return malformed;
  }
  FeedPage page;
  page.epoch = read.epoch();
  page.sequence = read.sequence();
  page.complete = read.complete();
  page.age = milliseconds(read.age_ms());
  page.searchers_revision = Read(read.searchers_revision());
  page.has_evacuations = read.has_evacuations();
  for (const auto* const objects : {&read.objects(), &read.newer_objects()}) {
    for (const wire::FeedObject& object : *objects) {
      std::optional<FeedObject> decoded = Read(object);
      if (decoded) {
        page.objects.push_back(*std::move(decoded));
      }
    }
  }
  return page;
}

}  // namespace greengage
