// Deletes expired claims, which no retry of a request can refer to any more.
#ifndef GREENGAGE_TRANSPORT_CLAIM_SWEEPER_H_
#define GREENGAGE_TRANSPORT_CLAIM_SWEEPER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "greengage/coordination/claim_sweep.h"
#include "greengage/transport/platform_client.h"

namespace greengage {

// Lists and deletes claims at a bounded rate. Only the instance currently
// responsible for the sweep does so. Thread-safe.
class ClaimSweeper : public std::enable_shared_from_this<ClaimSweeper> {
 public:
  struct Hooks {
    // Returns true if this instance is currently responsible for the sweep.
    std::function<bool()> is_sweeper;
    std::function<ClaimLimits()> limits;
  };

  ClaimSweeper(boost::asio::io_context& context,
               std::shared_ptr<PlatformClient> platform,
               std::chrono::milliseconds timeout,
               Hooks hooks);

  void Start();
  void Stop();

 private:
  using Step = void (ClaimSweeper::*)();

  void RunAfter(std::chrono::milliseconds delay, Step step);
  void BeginSweep();
  void ReadPage();
  void OnPage(const std::vector<PlatformListing>& page);
  void DeleteNext();

  const std::shared_ptr<PlatformClient> platform_;
  const std::chrono::milliseconds timeout_;
  const Hooks hooks_;
  std::mutex mutex_;
  boost::asio::steady_timer timer_;
  std::string after_;                // Last name of the previous page.
  std::deque<ListedClaim> expired_;  // Expired claims of the current page.
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_CLAIM_SWEEPER_H_
