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
                   "the delta has an unknown base version"};
  }
  Result<std::string> text = ApplyDelta(base->text, *reply->delta);
  if (!text) {
    return text.last_reason();
  }
  return ConfigurationText{reply->version, std::move(text).value()};
}

void OnReply(const std::shared_ptr<PeerClient>& client,
             const std::string& message,
             const std::optional<ConfigurationText>& base,
             HybridClock& clock,
             const ConfigurationService::TextCallback& done) {
  Result<ConfigurationText> text = ReadReply(message, base, clock);
  if (!text && base) {
    FetchConfiguration(client, std::nullopt, clock, done);
    return;
  }
  done(std::move(text));
}

// Returns the delta from `base_version` to `text`, or nullopt if `service` no
// longer has that version or no delta can be computed.
std::optional<ConfigurationDelta> DeltaFrom(
    uint64_t base_version,
    const ConfigurationText& text,
    const ConfigurationService& service) {
  const std::optional<ConfigurationText> base =
      service.recent_text(base_version);
  return base ? MakeDelta(base->text, text.text) : std::nullopt;
}

}  // namespace

void FetchConfiguration(const std::shared_ptr<PeerClient>& client,
                        std::optional<ConfigurationText> base,
                        HybridClock& clock,
                        ConfigurationService::TextCallback done) {
  wire::ConfigurationRequest request;
  WriteStamp(clock.Now(NowWall()), request.mutable_stamp());
  request.set_have_version(base ? base->version : 0);
  const auto reply = std::make_shared<std::string>();
  client->Open(
      kConfigurationPath, request.SerializeAsString(),
      std::chrono::steady_clock::now() + kFetchTimeout,
      [reply](std::string message) { *reply = std::move(message); },
      [reply, client, base = std::move(base), &clock,
       done = std::move(done)](const PeerStreamResult& end) {
        if (end.failure || reply->empty()) {
          done(Failure{FailureKind::kUnavailable, "configuration",
                       "the peer returned no configuration"});
        } else {
          OnReply(client, *reply, base, clock, done);
        }
      });
}

std::optional<std::string> ServeConfiguration(
    const std::string& request,
    const ConfigurationService& service,
    HybridClock& clock) {
  wire::ConfigurationRequest parsed;
  const std::optional<ConfigurationText> text = service.current_text();
  if (!parsed.ParseFromString(request) || !text ||
      text->version <= parsed.have_version()) {
    return std::nullopt;
  }
  ConfigurationReply reply;
  reply.stamp = clock.Now(NowWall());
  reply.version = text->version;
  reply.text = text->text;
  std::string full = SerializeConfigurationReply(reply);
  reply.base_version = parsed.have_version();
  reply.delta = DeltaFrom(parsed.have_version(), *text, service);
  if (!reply.delta) {
    return full;
  }
  std::string delta = SerializeConfigurationReply(reply);
  return delta.size() < full.size() ? std::move(delta) : std::move(full);
}

}  // namespace greengage
