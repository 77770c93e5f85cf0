#include "greengage/transport/quota_service.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>
#include <variant>

#include "greengage/protocol/quota_codec.h"
#include "greengage/transport/guard.h"
#include "transport/clock.h"

namespace greengage {
namespace {

// Shares in one notice, so that it fits into a datagram.
constexpr size_t kMaxSharesPerNotice = 20;

}  // namespace

QuotaService::QuotaService(boost::asio::io_context& context,
                           Options options,
                           Hooks hooks)
    : context_(context),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      gate_(options_.self_id, options_.process),
      ledger_(options_.ledger, hooks_.quota),
      timer_(context) {}

Result<Done> QuotaService::Start() {
  if (socket_) {
    return Done{};
  }
  auto socket = DatagramSocket::Bind(
      context_, options_.listen,
      [weak = weak_from_this()](const Endpoint& sender,
                                const std::string& datagram) {
        if (const auto self = weak.lock()) {
          self->OnDatagram(sender, datagram);
        }
      });
  if (!socket) {
    return socket.last_reason();
  }
  socket_ = *std::move(socket);
  SetInstances(instances_);
  ScheduleTick();
  return Done{};
}

void QuotaService::Stop() {
  timer_.cancel();
  if (const auto socket = std::exchange(socket_, nullptr)) {
    socket->Close();
  }
}

void QuotaService::SetInstances(const std::vector<InstanceRecord>& instances) {
  instances_ = instances;
  if (is_running()) {
    std::set<std::string> ids;
    for (const InstanceRecord& instance : instances_) {
      ids.insert(instance.id);
    }
    ledger_.SetInstances(std::move(ids));
    gate_.SetLedgers(Now(), SelectQuotaLedgers(instances_, options_.regions));
  }
}

QuotaVerdict QuotaService::Admit(const Organisation& organisation,
                                 const LimitShare& own_share) {
  return gate_.Admit(Now(), organisation, own_share);
}

void QuotaService::ScheduleTick() {
  timer_.expires_after(kQuotaReportInterval);
  timer_.async_wait([weak = weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self && self->is_running()) {
      RunGuarded("quota_reports", [&self] { self->Tick(); });
      self->ScheduleTick();
    }
  });
}

void QuotaService::Tick() {
  for (const auto& [ledger, report] : gate_.TakeReports(Now())) {
    socket_->Send(ledger.peer, EncodeQuotaReport(report));
  }
  SendNotices();
}

void QuotaService::SendNotices() {
  const TimePoint now = Now();
  std::vector<QuotaShare> shares = ledger_.TakeNotices(now);
  for (const QuotaShare& share : shares) {
    const bool is_limited = share.share < 1;
    if (std::exchange(limited_[share.organisation], is_limited) != is_limited) {
      hooks_.on_limited(share,
                        ledger_.Level(now, share.organisation).value_or(0));
    }
  }
  for (size_t first = 0; first < shares.size(); first += kMaxSharesPerNotice) {
    const size_t last = std::min(shares.size(), first + kMaxSharesPerNotice);
    QuotaDecision notice{options_.self_id,
                         0,
                         0,
                         {shares.begin() + static_cast<std::ptrdiff_t>(first),
                          shares.begin() + static_cast<std::ptrdiff_t>(last)}};
    const std::string datagram = EncodeQuotaDecision(notice);
    for (const InstanceRecord& instance : instances_) {
      socket_->Send(instance.peer, datagram);
    }
  }
}

void QuotaService::OnDatagram(const Endpoint& sender,
                              const std::string& datagram) {
  if (!is_running()) {
    return;
  }
  const Result<QuotaMessage> message = DecodeQuotaMessage(datagram);
  if (!message) {
    return;  // Anything may send to a UDP port.
  }
  if (const auto* decision = std::get_if<QuotaDecision>(&*message)) {
    gate_.OnDecision(Now(), *decision);
    return;
  }
  const auto& report = std::get<QuotaReport>(*message);
  auto shares = ledger_.OnReport(Now(), report);
  if (!shares) {
    return;
  }
  socket_->Send(sender,
                EncodeQuotaDecision({options_.self_id, report.process,
                                     report.sequence, *std::move(shares)}));
  // Instances that have not reported must hear of a new limit at once.
  SendNotices();
}

}  // namespace greengage
