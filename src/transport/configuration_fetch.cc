#include "transport/configuration_fetch.h"

#include <chrono>
#include <memory>

#include "greengage/transport/sub_request_router.h"
#include "protocol/peer.pb.h"

namespace greengage {
namespace {

constexpr std::chrono::milliseconds kFetchTimeout{2000};

WallTime NowWall() {
  return std::chrono::system_clock::now();
}

void WriteStamp(HybridTime time, wire::Stamp* stamp) {
  stamp->set_milliseconds(time.milliseconds);
  stamp->set_counter(time.counter);
}

Result<ConfigurationText> ReadReply(const std::string& message) {
  wire::ConfigurationReply reply;
  if (!reply.ParseFromString(message)) {
    return Failure{FailureKind::kMalformedMessage, "configuration",
                   "not a message of this protocol"};
  }
  return ConfigurationText{reply.version(), std::move(*reply.mutable_text())};
}

}  // namespace

void FetchConfiguration(PeerClient& link,
                        uint64_t have_version,
                        HybridClock& clock,
                        ConfigurationService::TextCallback done) {
  wire::ConfigurationRequest request;
  WriteStamp(clock.Now(NowWall()), request.mutable_stamp());
  request.set_have_version(have_version);
  const auto reply = std::make_shared<std::string>();
  link.Open(
      kConfigurationPath, request.SerializeAsString(),
      std::chrono::steady_clock::now() + kFetchTimeout,
      [reply](std::string message) { *reply = std::move(message); },
      [reply, done = std::move(done)](const PeerEnd& end) {
        if (end.failure || reply->empty()) {
          done(Failure{FailureKind::kUnavailable, "configuration",
                       "the instance gave none"});
        } else {
          done(ReadReply(*reply));
        }
      });
}

std::optional<std::string> ServeConfiguration(
    const std::string& request,
    const std::optional<ConfigurationText>& text,
    HybridClock& clock) {
  wire::ConfigurationRequest read;
  if (!read.ParseFromString(request) || !text ||
      text->version <= read.have_version()) {
    return std::nullopt;
  }
  wire::ConfigurationReply reply;
  WriteStamp(clock.Now(NowWall()), reply.mutable_stamp());
  reply.set_version(text->version);
  reply.set_text(text->text);
  return reply.SerializeAsString();
}

}  // namespace greengage
