#include "greengage/transport/claim_sweeper.h"
#include "transport/clock.h"

namespace greengage {
namespace {

std::vector<ListedClaim> ToClaims(const std::vector<PlatformListing>& page) {
  std::vector<ListedClaim> claims;
  claims.reserve(page.size());
  for (const PlatformListing& listing : page) {
    claims.push_back(ListedClaim{listing.name, listing.version});
  }
  return claims;
}

}  // namespace

ClaimSweeper::ClaimSweeper(boost::asio::io_context& context,
                           std::shared_ptr<PlatformClient> platform,
                           std::chrono::milliseconds timeout,
                           Hooks hooks)
    : platform_(std::move(platform)),
      timeout_(timeout),
      hooks_(std::move(hooks)),
      timer_(context) {}

void ClaimSweeper::Start() {
  RunAfter(kClaimSweepPeriod, &ClaimSweeper::BeginSweep);
}

void ClaimSweeper::Stop() {
  const std::lock_guard lock(mutex_);
  timer_.cancel();
}

void ClaimSweeper::RunAfter(std::chrono::milliseconds delay, Step step) {
  const std::lock_guard lock(mutex_);
  timer_.expires_after(delay);
  timer_.async_wait([weak = weak_from_this(), step](auto error) {
    const auto self = weak.lock();
    if (!error && self) {
      ((*self).*step)();
    }
  });
}

void ClaimSweeper::BeginSweep() {
  {
    const std::lock_guard lock(mutex_);
    after_.clear();
  }
  if (hooks_.is_sweeper()) {
    ReadPage();
  } else {
    RunAfter(kClaimSweepPeriod, &ClaimSweeper::BeginSweep);
  }
}

void ClaimSweeper::ReadPage() {
  std::string after;
  {
    const std::lock_guard lock(mutex_);
    after = after_;
  }
  platform_->List(
      std::string(kClaimKind), kClaimPageSize, after, Now() + timeout_,
      [weak =
           weak_from_this()](const Result<std::vector<PlatformListing>>& page) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        if (page) {
          self->OnPage(*page);
        } else {
          self->RunAfter(kClaimSweepPeriod, &ClaimSweeper::BeginSweep);
        }
      });
}

void ClaimSweeper::OnPage(const std::vector<PlatformListing>& page) {
  ClaimSweepStep step =
      PlanClaimSweep(ToClaims(page), kClaimPageSize, hooks_.limits(),
                     std::chrono::system_clock::now());
  {
    const std::lock_guard lock(mutex_);
    after_ = std::move(step.next_after);
    expired_.assign(step.expired.begin(), step.expired.end());
  }
  DeleteNext();
}

void ClaimSweeper::DeleteNext() {
  std::optional<ListedClaim> next;
  bool last_page = false;
  {
    const std::lock_guard lock(mutex_);
    last_page = after_.empty();
    if (!expired_.empty()) {
      next = std::move(expired_.front());
      expired_.pop_front();
    }
  }
  if (next) {
    platform_->Delete(ObjectKey{std::string(kClaimKind), next->name},
                      next->version, Now() + timeout_,
                      [](const PlatformWrite&) {});
    RunAfter(kClaimDeletePeriod, &ClaimSweeper::DeleteNext);
  } else if (last_page) {
    RunAfter(kClaimSweepPeriod, &ClaimSweeper::BeginSweep);
  } else {
    RunAfter(kClaimPagePeriod, &ClaimSweeper::ReadPage);
  }
}

}  // namespace greengage
