#include "greengage/protocol/quota_codec.h"

#include <chrono>
#include <cstdint>
#include <optional>

#include "protocol/peer.pb.h"

namespace greengage {
namespace {

using std::chrono::milliseconds;

// Counts beyond this are not believable, and their differences could overflow.
constexpr int64_t kMaxCount = int64_t{1} << 48;

constexpr int64_t kMaxRetryAfterMs = int64_t{3600} * 1000;

void Write(const QuotaCounts& counts, wire::QuotaCounts* written) {
  written->set_asked(counts.asked);
  written->set_admitted(counts.admitted);
}

std::optional<QuotaCounts> Read(const wire::QuotaCounts& message) {
  const QuotaCounts counts{message.asked(), message.admitted()};
  const bool is_valid = counts.asked >= 0 && counts.asked <= kMaxCount &&
                        counts.admitted >= -kMaxCount &&
                        counts.admitted <= counts.asked;
  return is_valid ? std::optional(counts) : std::nullopt;
}

Failure Malformed() {
  return {FailureKind::kMalformedMessage, "quota datagram",
          "not a report or a decision"};
}

Result<QuotaMessage> Read(const wire::QuotaReport& message) {
  QuotaReport report{
      message.sender(), message.process(), message.sequence(), {}};
  for (const wire::OrganisationUse& use : message.uses()) {
    const auto total = Read(use.total());
    const auto acknowledged = Read(use.acknowledged());
    if (!total || !acknowledged || use.organisation().empty()) {
      return Malformed();
    }
    report.uses.push_back(
        {use.organisation(), *total, *acknowledged, use.is_replacement()});
  }
  return report.sender.empty() ? Result<QuotaMessage>(Malformed())
                               : QuotaMessage(std::move(report));
}

Result<QuotaMessage> Read(const wire::QuotaDecision& message) {
  QuotaDecision decision{
      message.sender(), message.process(), message.sequence(), {}};
  for (const wire::QuotaShare& share : message.shares()) {
    const bool is_valid = share.share() >= 0 && share.share() <= 1 &&
                          share.retry_after_ms() >= 0 &&
                          share.retry_after_ms() <= kMaxRetryAfterMs;
    if (!is_valid || share.organisation().empty()) {
      return Malformed();
    }
    decision.shares.push_back({share.organisation(), share.share(),
                               milliseconds(share.retry_after_ms())});
  }
  return decision.sender.empty() ? Result<QuotaMessage>(Malformed())
                                 : QuotaMessage(std::move(decision));
}

}  // namespace

std::string EncodeQuotaReport(const QuotaReport& report) {
  wire::QuotaDatagram datagram;
  wire::QuotaReport* const written = datagram.mutable_report();
  written->set_sender(report.sender);
  written->set_process(report.process);
  written->set_sequence(report.sequence);
  for (const OrganisationUse& use : report.uses) {
    wire::OrganisationUse* const added = written->add_uses();
    added->set_organisation(use.organisation);
    Write(use.total, added->mutable_total());
    Write(use.acknowledged, added->mutable_acknowledged());
    added->set_is_replacement(use.is_replacement);
  }
  return datagram.SerializeAsString();
}

std::string EncodeQuotaDecision(const QuotaDecision& decision) {
  wire::QuotaDatagram datagram;
  wire::QuotaDecision* const written = datagram.mutable_decision();
  written->set_sender(decision.sender);
  written->set_process(decision.process);
  written->set_sequence(decision.sequence);
  for (const QuotaShare& share : decision.shares) {
    wire::QuotaShare* const added = written->add_shares();
    added->set_organisation(share.organisation);
    added->set_share(share.share);
    added->set_retry_after_ms(ToMilliseconds(share.retry_after).count());
  }
  return datagram.SerializeAsString();
}

Result<QuotaMessage> DecodeQuotaMessage(std::string_view datagram) {
  wire::QuotaDatagram message;
  if (!message.ParseFromArray(datagram.data(),
                              static_cast<int>(datagram.size()))) {
    return Malformed();
  }
  switch (message.content_case()) {
    case wire::QuotaDatagram::kReport:
      return Read(message.report());
    case wire::QuotaDatagram::kDecision:
      return Read(message.decision());
    case wire::QuotaDatagram::CONTENT_NOT_SET:
      break;
  }
  return Malformed();
}

}  // namespace greengage
