#include "greengage/coordination/quota_gate.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <iterator>

#include "greengage/coordination/rendezvous.h"

namespace greengage {
namespace {

// A ledger that has not answered a report, which is repeated meanwhile, for
// this long is replaced until it answers again.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(400);

// Organisations in one report, so that it fits into a datagram.
constexpr size_t kMaxUsesPerReport = 12;

// Organisations that are remembered. Ledgers only name configured ones, but
// anything can send a datagram.
constexpr size_t kMaxOrganisations = 16384;

// Longest retry delay while no ledger answers. One may do so soon.
constexpr Duration kMaxRetryAfterAlone = std::chrono::seconds(5);

// A longer time between two reports is a pause of this process, in which it
// could not hear any ledger.
constexpr Duration kMaxReportGap = 3 * kQuotaReportInterval;

// Ledgers that are kept if there are instances enough.
constexpr size_t kMinLedgers = 3;

// Reports that a ledger has not acknowledged and that are remembered.
constexpr size_t kMaxUnacknowledged = 32;

// An instance that keeps a ledger has at least this share of the capacity of
// the largest one of its region.
constexpr double kMinRelativeCapacity = 0.5;

double DrawFraction(std::minstd_rand& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

}  // namespace

std::vector<InstanceRecord> SelectQuotaLedgers(
    const std::vector<InstanceRecord>& instances,
    const std::map<std::string, std::string>& regions) {
  const auto region_of = [&regions](const InstanceRecord& instance) {
    const auto found = regions.find(instance.data_centre);
    return found == regions.end() ? instance.data_centre : found->second;
  };
  std::map<std::string, double> max_capacity;
  for (const InstanceRecord& instance : instances) {
    double& largest = max_capacity[region_of(instance)];
    largest = std::max(largest, instance.capacity);
  }
  // By region, the best first.
  std::map<std::string, std::multimap<uint64_t, InstanceRecord, std::greater<>>>
      ranked;
  for (const InstanceRecord& instance : instances) {
    const std::string region = region_of(instance);
    if (instance.capacity >= max_capacity[region] * kMinRelativeCapacity) {
      ranked[region].emplace(
          RendezvousWeight(RendezvousHash(region), RendezvousHash(instance.id)),
          instance);
    }
  }
  std::vector<InstanceRecord> ledgers;
  bool has_more = true;
  for (size_t round = 0;
       has_more && (round == 0 || ledgers.size() < kMinLedgers); ++round) {
    has_more = false;
    for (const auto& [region, candidates] : ranked) {
      if (round < candidates.size()) {
        ledgers.push_back(
            std::next(candidates.begin(), static_cast<std::ptrdiff_t>(round))
                ->second);
        has_more = true;
      }
    }
  }
  return ledgers;
}

void QuotaGate::SetLedgers(TimePoint now, std::vector<InstanceRecord> ledgers) {
  if (ledgers_.empty()) {
    reported_at_ = now;
  }
  std::vector<Ledger> changed;
  for (InstanceRecord& instance : ledgers) {
    const auto known = std::find_if(ledgers_.begin(), ledgers_.end(),
                                    [&instance](const Ledger& ledger) {
                                      return ledger.instance.id == instance.id;
                                    });
    if (known == ledgers_.end()) {
      changed.push_back(
          {std::move(instance), now, std::nullopt, std::nullopt, {}});
    } else {
      known->instance = std::move(instance);
      changed.push_back(std::move(*known));
    }
  }
  ledgers_ = std::move(changed);
}

bool QuotaGate::Answers(TimePoint now, const Ledger& ledger) {
  return now - ledger.heard_at < kQuotaLedgerTimeout &&
         (!ledger.unanswered_since ||
          now - *ledger.unanswered_since < kAnswerTimeout);
}

QuotaGate::Ledger* QuotaGate::BestLedger(
    const std::string& organisation,
    const std::function<bool(const Ledger&)>& is_usable) {
  const uint64_t key = RendezvousHash(organisation);
  Ledger* best = nullptr;
  uint64_t best_weight = 0;
  for (Ledger& ledger : ledgers_) {
    const uint64_t weight =
        RendezvousWeight(key, RendezvousHash(ledger.instance.id));
    if (is_usable(ledger) && (best == nullptr || weight > best_weight)) {
      best = &ledger;
      best_weight = weight;
    }
  }
  return best;
}

QuotaGate::Ledger* QuotaGate::LedgerOf(TimePoint now,
                                       const std::string& organisation) {
  return BestLedger(organisation, [now](const Ledger& ledger) {
    return Answers(now, ledger);
  });
}

QuotaGate::Ledger* QuotaGate::FirstLedgerOf(const std::string& organisation) {
  return BestLedger(organisation, [](const Ledger&) { return true; });
}

QuotaVerdict QuotaGate::Admit(TimePoint now,
                              const Organisation& organisation,
                              const LimitShare& own_share) {
  Use& use = uses_[organisation.name];
  ++use.total.asked;
  QuotaVerdict verdict;
  const bool has_share = use.share_until && now < *use.share_until;
  if (has_share) {
    verdict.share = use.share;
    double remainder =
        use.share + (use.remainder ? *use.remainder : DrawFraction(random_));
    verdict.admitted = remainder >= 1;
    verdict.retry_after = use.retry_after;
    remainder -= verdict.admitted ? 1 : 0;
    use.remainder = remainder;
  } else if (LedgerOf(std::min(now, reported_at_ + kMaxReportGap),
                      organisation.name) == nullptr) {
    verdict = AdmitAlone(now, organisation, own_share, use);
  } else {
    use.alone.reset();
  }
  if (verdict.is_alone) {
    // Paid from the own share, which no ledger gives out.
    --use.total.asked;
  } else {
    use.total.admitted += verdict.admitted ? 1 : 0;
  }
  return verdict;
}

QuotaVerdict QuotaGate::AdmitAlone(TimePoint now,
                                   const Organisation& organisation,
                                   const LimitShare& own_share,
                                   Use& use) {
  if (!use.alone || !(use.alone_quota == organisation.quota)) {
    use.alone.emplace(now);
    use.alone_quota = organisation.quota;
    use.alone->OnAnswer(now, organisation.quota.rate);
  }
  QuotaVerdict verdict;
  verdict.is_alone = true;
  verdict.share = own_share.fraction;
  verdict.retry_after = use.alone->WaitFor(now, own_share, TokenDemand{});
  verdict.admitted = verdict.retry_after <= Duration::zero();
  verdict.retry_after = std::min(verdict.retry_after, kMaxRetryAfterAlone);
  if (verdict.admitted) {
    use.alone->OnSent(now, own_share);
  }
  return verdict;
}

void QuotaGate::OnNotRun(const std::string& organisation) {
  const auto found = uses_.find(organisation);
  if (found != uses_.end()) {
    --found->second.total.admitted;
  }
}

void QuotaGate::AllowForPause(TimePoint now) {
  const Duration gap = now - reported_at_;
  reported_at_ = now;
  if (gap <= kMaxReportGap) {
    return;
  }
  for (Ledger& ledger : ledgers_) {
    ledger.heard_at += gap;
    if (ledger.unanswered_since) {
      *ledger.unanswered_since += gap;
    }
  }
}

std::vector<QuotaGate::OutgoingReport> QuotaGate::TakeReports(TimePoint now) {
  AllowForPause(now);
  std::map<Ledger*, std::vector<OrganisationUse>> uses;
  for (auto& [organisation, use] : uses_) {
    if (!(use.total == use.acknowledged)) {
      Ledger* const ledger = LedgerOf(now, organisation);
      if (ledger != nullptr && uses[ledger].size() < kMaxUsesPerReport) {
        uses[ledger].push_back({organisation, use.total, use.acknowledged,
                                ledger != FirstLedgerOf(organisation)});
      }
    }
  }
  std::vector<OutgoingReport> reports;
  for (Ledger& ledger : ledgers_) {
    const bool is_due = !ledger.reported_at ||
                        now - *ledger.reported_at >= kQuotaHeartbeatInterval;
    auto found = uses.find(&ledger);
    if (found == uses.end() && !is_due) {
      continue;
    }
    ledger.reported_at = now;
    ledger.unanswered_since = ledger.unanswered_since.value_or(now);
    OutgoingReport outgoing{ledger.instance,
                            {self_id_, process_, ++last_sequence_, {}}};
    if (found != uses.end()) {
      outgoing.report.uses = std::move(found->second);
    }
    ledger.unacknowledged.push_back(
        {outgoing.report.sequence, outgoing.report.uses});
    if (ledger.unacknowledged.size() > kMaxUnacknowledged) {
      ledger.unacknowledged.pop_front();
    }
    reports.push_back(std::move(outgoing));
  }
  return reports;
}

void QuotaGate::OnDecision(TimePoint now, const QuotaDecision& decision) {
  const auto ledger = std::find_if(
      ledgers_.begin(), ledgers_.end(), [&decision](const Ledger& known) {
        return known.instance.id == decision.sender;
      });
  if (ledger == ledgers_.end()) {
    return;
  }
  ledger->heard_at = now;
  ledger->unanswered_since.reset();
  if (decision.process == process_) {
    std::erase_if(ledger->unacknowledged, [&](const SentReport& sent) {
      if (sent.sequence == decision.sequence) {
        for (const OrganisationUse& reported : sent.uses) {
          Use& use = uses_[reported.organisation];
          if (reported.total.asked >= use.acknowledged.asked) {
            use.acknowledged = reported.total;
          }
        }
      }
      return sent.sequence == decision.sequence;
    });
  }
  for (const QuotaShare& share : decision.shares) {
    UseShare(now, decision.sender, share);
  }
}

// A ledger that has been replaced may not lift the limit of the one that is
// used now.
void QuotaGate::UseShare(TimePoint now,
                         const std::string& ledger,
                         const QuotaShare& share) {
  if (uses_.size() >= kMaxOrganisations &&
      !uses_.contains(share.organisation)) {
    return;
  }
  Use& use = uses_[share.organisation];
  const bool is_limited = use.share_until && now < *use.share_until;
  if (share.share >= 1 && is_limited && use.share_from != ledger) {
    return;
  }
  use.share = share.share;
  use.share_from = ledger;
  use.retry_after = share.retry_after;
  use.share_until =
      share.share < 1 ? std::optional(now + kQuotaShareLifetime) : std::nullopt;
}

}  // namespace greengage
