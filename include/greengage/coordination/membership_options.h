// Times and limits of the membership protocol.
#ifndef GREENGAGE_COORDINATION_MEMBERSHIP_OPTIONS_H_
#define GREENGAGE_COORDINATION_MEMBERSHIP_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

#include "greengage/coordination/member_map.h"
#include "greengage/state/instance.h"

namespace greengage {

// Picks `count` of the members for one purpose.
using MemberChooser =
    std::function<std::vector<const Instance*>(const MemberMap& members,
                                               size_t count,
                                               std::mt19937_64& random)>;

// The same at all instances of a deployment. An instance that stays
// unanswered is declared gone `gone_timeout` after the first unanswered ping;
// with `probe_period` and the time for gossip added, that bounds the time
// until all know, and less any pause that an instance may make unharmed.
struct MembershipOptions {
  // How often each successor on the ring is pinged, and how many there are.
  std::chrono::milliseconds probe_period{1000};
  size_t successors = 2;

  // Without an acknowledgement for `retry_timeout`, the ping is repeated
  // every `retry_period`; when the first repeat stays unanswered too, also
  // every `indirect_period` by way of `indirect_count` others.
  std::chrono::milliseconds retry_timeout{300};
  std::chrono::milliseconds retry_period{200};
  std::chrono::milliseconds indirect_period{400};
  size_t indirect_count = 3;

  // Age of the first unanswered ping at which the instance is suspected, and
  // at which it is declared gone. The second is longer at an instance that has
  // itself heard from no one all the while.
  std::chrono::milliseconds suspect_timeout{1000};
  std::chrono::milliseconds gone_timeout{4000};
  std::chrono::milliseconds isolated_gone_timeout{6000};

  // Ticks further apart than this mean that the process was paused.
  std::chrono::milliseconds pause_threshold{500};

  // News is sent to `fan_out` members every `gossip_period`, in
  // `dissemination_rounds_factor` times log2(members) rounds, or until
  // `max_received_copies` copies of it have been heard from others.
  std::chrono::milliseconds gossip_period{200};
  size_t fan_out = 3;
  double dissemination_rounds_factor = 1.0;
  uint32_t max_received_copies = 5;

  // Anti-entropy with a random member; sooner again while it finds changes.
  std::chrono::milliseconds sync_period{5000};
  std::chrono::milliseconds resync_delay{200};
  size_t sync_datagrams = 16;

  // How often a member that is gone, or a seed, is tried again, how often
  // seeds are tried while no member is known, and when those gone are
  // forgotten.
  std::chrono::milliseconds reconnect_period{5000};
  std::chrono::milliseconds join_period{1000};
  std::chrono::milliseconds gone_retention = std::chrono::minutes(10);

  // Members claimed to be gone that are verified at the same time.
  size_t max_verifications = 32;

  // Upper bound of a datagram, in bytes.
  size_t datagram_bytes = 1200;

  // Who is probed; by default the successors on the ring.
  MemberChooser choose_probe_targets;

  // Who is sent gossip; by default random members.
  MemberChooser choose_gossip_targets;
};

// Picks at random among the members that are not gone.
std::vector<const Instance*> ChooseRandom(const MemberMap& members,
                                          size_t count,
                                          std::mt19937_64& random);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_MEMBERSHIP_OPTIONS_H_
