#include "transport/configuration_fetch.h"

#include <chrono>
#include <utility>

#include "greengage/protocol/configuration_delta.h"
#include "greengage/transport/sub_request_router.h"
#include "protocol/peer.pb.h"
#include "transport/clock.h"

namespace greengage {
namespace {

constexpr std::chrono::milliseconds kFetchTimeout{2000};

void WriteStamp(HybridTime time, wire::Stamp* stamp) {
  stamp->set_milliseconds(time.milliseconds);
  stamp->set_counter(time.counter);
}

Result<ConfigurationText> ReadReply(
    const std::string& message,
    const std::optional<ConfigurationText>& base,
    HybridClock& clock) {
  Result<ConfigurationReply> reply = ParseConfigurationReply(message);
  if (!reply) {
    return reply.last_reason();
  }
  clock.Observe(reply->stamp, NowWall());
  if (!reply->delta) {
    return ConfigurationText{reply->version, std::move(reply->text)};
  }
  if (!base || base->version != reply->base_version) {
    return Failure{FailureKind::kMalformedMessage, "configuration",
                   "a delta to a version that is not held"};
  }
  Result<std::string> text = ApplyDelta(base->text, *reply->delta);
  if (!text) {
    return text.last_reason();
  }
  return ConfigurationText{reply->version, std::move(text).value()};
}

void OnReply(const std::shared_ptr<PeerClient>& link,
             const std::string& message,
             const std::optional<ConfigurationText>& base,
             HybridClock& clock,
             const ConfigurationService::TextCallback& done) {
  Result<ConfigurationText> text = ReadReply(message, base, clock);
  if (!text && base) {
    FetchConfiguration(link, std::nullopt, clock, done);
    return;
  }
  done(std::move(text));
}

// The asker's text, if it is still held here and a delta to it can be told.
std::optional<ConfigurationDelta> DeltaTo(uint64_t base_version,
                                          const ConfigurationText& text,
                                          const ConfigurationService& service) {
  const std::optional<ConfigurationText> base =
      service.recent_text(base_version);
  return base ? MakeDelta(base->text, text.text) : std::nullopt;
}

}  // namespace

void FetchConfiguration(const std::shared_ptr<PeerClient>& link,
                        std::optional<ConfigurationText> base,
                        HybridClock& clock,
                        ConfigurationService::TextCallback done) {
  wire::ConfigurationRequest request;
  WriteStamp(clock.Now(NowWall()), request.mutable_stamp());
  request.set_have_version(base ? base->version : 0);
  const auto reply = std::make_shared<std::string>();
  link->Open(
      kConfigurationPath, request.SerializeAsString(),
      std::chrono::steady_clock::now() + kFetchTimeout,
      [reply](std::string message) { *reply = std::move(message); },
      [reply, link, base = std::move(base), &clock,
       done = std::move(done)](const PeerEnd& end) {
        if (end.failure || reply->empty()) {
          done(Failure{FailureKind::kUnavailable, "configuration",
                       "the instance gave none"});
        } else {
          OnReply(link, *reply, base, clock, done);
        }
      });
}

std::optional<std::string> ServeConfiguration(
    const std::string& request,
    const ConfigurationService& service,
    HybridClock& clock) {
  wire::ConfigurationRequest read;
  const std::optional<ConfigurationText> text = service.current_text();
  if (!read.ParseFromString(request) || !text ||
      text->version <= read.have_version()) {
    return std::nullopt;
  }
  ConfigurationReply reply;
  reply.stamp = clock.Now(NowWall());
  reply.version = text->version;
  reply.text = text->text;
  std::string whole = SerializeConfigurationReply(reply);
  reply.base_version = read.have_version();
  reply.delta = DeltaTo(read.have_version(), *text, service);
  if (!reply.delta) {
    return whole;
  }
  std::string delta = SerializeConfigurationReply(reply);
  return delta.size() < whole.size() ? std::move(delta) : std::move(whole);
}

}  // namespace greengage
