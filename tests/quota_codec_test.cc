// Guards against datagrams that change on the way from one instance to another,
// and against bytes of anyone else that are taken for one.
#include "greengage/protocol/quota_codec.h"

#include <chrono>
#include <string>
#include <variant>

#include <criterion/criterion.h>

namespace greengage {

Test(QuotaCodec, ReturnsWhatWasEncoded) {
  const QuotaReport report{"i", 7, 9, {{"o", {12, -3}, {4, 2}}}};
  const auto decoded = DecodeQuotaMessage(EncodeQuotaReport(report));
  const auto& read = std::get<QuotaReport>(*decoded);
  cr_assert_eq(read.sender, "i");
  cr_assert_eq(read.process, 7);
  cr_assert_eq(read.sequence, 9);
  cr_assert_eq(read.uses.size(), 1);
  cr_assert(read.uses[0].total == QuotaCounts({12, -3}));
  cr_assert(read.uses[0].acknowledged == QuotaCounts({4, 2}));

  const QuotaDecision decision{
      "l", 1, 2, {{"o", 0.25, std::chrono::milliseconds(1500)}}};
  const auto answer = DecodeQuotaMessage(EncodeQuotaDecision(decision));
  const auto& share = std::get<QuotaDecision>(*answer).shares.at(0);
  cr_assert_eq(share.organisation, "o");
  cr_assert_eq(share.share, 0.25);
  cr_assert(share.retry_after == std::chrono::milliseconds(1500));
}

Test(QuotaCodec, RejectsWhatNoInstanceSends) {
  const auto is_rejected = [](const std::string& datagram) {
    return !DecodeQuotaMessage(datagram) &&
           DecodeQuotaMessage(datagram).last_reason().kind ==
               FailureKind::kMalformedMessage;
  };
  cr_assert(is_rejected(""));
  cr_assert(is_rejected("GET / HTTP/1.1\r\n\r\n"));
  cr_assert(is_rejected(EncodeQuotaReport({"", 1, 1, {}})));
  cr_assert(is_rejected(EncodeQuotaReport({"i", 1, 1, {{"o", {-1, 0}, {}}}})));
  cr_assert(is_rejected(EncodeQuotaReport({"i", 1, 1, {{"o", {1, 2}, {}}}})));
  cr_assert(is_rejected(EncodeQuotaDecision({"l", 0, 0, {{"o", 1.5, {}}}})));
  cr_assert(is_rejected(
      EncodeQuotaDecision({"l", 0, 0, {{"o", 1, std::chrono::hours(25)}}})));
}

}  // namespace greengage
