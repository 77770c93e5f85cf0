// Intervals, timeouts and limits of the membership protocol.
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

// Selects up to `count` members.
using MemberChooser =
    std::function<std::vector<const Instance*>(const MemberMap& members,
                                               size_t count,
                                               std::mt19937_64& random)>;

// Must be equal on all instances of a deployment. An instance is declared gone
// `gone_timeout` after the first unacknowledged ping. The time until all
// members have detected a failure is bounded by that plus `probe_period` and
// the time for gossip. A pause of a process is harmless if it is shorter than
// `gone_timeout` by the time that an acknowledgement takes.
struct MembershipOptions {
  // Interval at which each successor on the ring is pinged, and number of
  // successors.
  std::chrono::milliseconds probe_period{1000};
  size_t successors = 2;

  // A ping not acknowledged within `retry_timeout` is repeated every
  // `retry_period`. If the first repeat is not acknowledged either, indirect
  // pings through `indirect_count` other members are added every
  // `indirect_period`.
  std::chrono::milliseconds retry_timeout{300};
  std::chrono::milliseconds retry_period{200};
  std::chrono::milliseconds indirect_period{400};
  size_t indirect_count = 3;

  // Time since the first unacknowledged ping after which the instance is
  // suspected, and after which it is declared gone. `isolated_gone_timeout`
  // replaces `gone_timeout` on an instance that has received no datagram since
  // that ping and has more than one other member.
  std::chrono::milliseconds suspect_timeout{1000};
  std::chrono::milliseconds gone_timeout{4000};
  std::chrono::milliseconds isolated_gone_timeout{6000};

  // A longer interval between ticks means that the process was paused.
  std::chrono::milliseconds pause_threshold{500};

  // Every `gossip_period`, queued changes are sent to `fan_out` members. A
  // change is sent in `dissemination_rounds_factor` times log2(members) rounds,
  // or until `max_received_copies` copies of it were received from other
  // members.
  std::chrono::milliseconds gossip_period{200};
  size_t fan_out = 3;
  double dissemination_rounds_factor = 1.0;
  uint32_t max_received_copies = 5;

  // Interval of anti-entropy with a random member; `resync_delay` applies while
  // it finds changes. `sync_datagrams` bounds the datagrams of one reply.
  std::chrono::milliseconds sync_period{5000};
  std::chrono::milliseconds resync_delay{200};
  size_t sync_datagrams = 16;

  // Interval at which a gone member and a seed are contacted, interval at which
  // seeds are contacted while no member is known, and time after which gone
  // members are removed.
  std::chrono::milliseconds reconnect_period{5000};
  std::chrono::milliseconds join_period{1000};
  std::chrono::milliseconds gone_retention = std::chrono::minutes(10);

  // Maximum number of members declared gone by others that are verified at the
  // same time.
  size_t max_verifications = 32;

  // Maximum size of a datagram, in bytes.
  size_t datagram_bytes = 1200;

  // Selects the members to probe; by default the successors on the ring.
  MemberChooser choose_probe_targets;

  // Selects the receivers of gossip; by default random members.
  MemberChooser choose_gossip_targets;
};

// Selects random members among those that are not gone.
std::vector<const Instance*> ChooseRandom(const MemberMap& members,
                                          size_t count,
                                          std::mt19937_64& random);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_MEMBERSHIP_OPTIONS_H_
