// The encoding of the datagrams about quotas.
#ifndef GREENGAGE_PROTOCOL_QUOTA_CODEC_H_
#define GREENGAGE_PROTOCOL_QUOTA_CODEC_H_

#include <string>
#include <string_view>
#include <variant>

#include "greengage/coordination/quota_messages.h"
#include "greengage/state/result.h"

namespace greengage {

std::string EncodeQuotaReport(const QuotaReport& report);
std::string EncodeQuotaDecision(const QuotaDecision& decision);

using QuotaMessage = std::variant<QuotaReport, QuotaDecision>;

// Fails with kMalformedMessage if the datagram is not one of these messages, or
// has a value that is out of range.
Result<QuotaMessage> DecodeQuotaMessage(std::string_view datagram);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_QUOTA_CODEC_H_
