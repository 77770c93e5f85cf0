// Chooses where an instance reads changes from: the store, or a peer that reads
// the store.
#ifndef GREENGAGE_COORDINATION_FEED_SOURCE_H_
#define GREENGAGE_COORDINATION_FEED_SOURCE_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "greengage/coordination/peer_backoff.h"
#include "greengage/state/instance_record.h"
#include "greengage/state/time.h"

namespace greengage {

// Instances of a data centre that always read the store, so that a lost one is
// replaced at once.
inline constexpr size_t kFeedRelaysPerDataCentre = 2;

struct FeedSourceOptions {
  // Age of the known state at which an instance no longer relies on its peers
  // and reads the store.
  Duration max_age = std::chrono::seconds(2);
  // How long an instance that could not rely on its peers keeps reading the
  // store.
  Duration takeover_time = std::chrono::seconds(10);
  PeerBackoffOptions backoff = {};
};

// With a reader and a spare per data centre, the load on the store grows with
// the number of data centres, not of instances. All instances of a data centre
// rank its instances alike: by capacity, then by rendezvous hashing. Each reads
// from the first that answers. An instance reads the store itself if it is
// among the first in the ranking, if none of those before it answers, if the
// known state becomes too old, or if it does not know its peers.
//
// Not thread-safe.
class FeedSource {
 public:
  FeedSource(InstanceRecord self, FeedSourceOptions options)
      : self_(std::move(self)), options_(options), backoff_(options.backoff) {}

  // Sets the registered instances of all data centres. Some may be lost, and
  // this instance may be missing if it has just started.
  void SetInstances(const std::vector<InstanceRecord>& instances);

  void OnPeerFailed(TimePoint now,
                    const std::string& peer,
                    PeerFailure failure) {
    backoff_.OnFailed(now, peer, failure);
  }
  void OnPeerAnswered(const std::string& peer) { backoff_.OnAnswered(peer); }

  // Returns the peer to read from, or null if the instance must read the store.
  // `known_at` is the time at which the known state was current. The pointer is
  // valid until the next call of SetInstances().
  const InstanceRecord* Choose(TimePoint now, TimePoint known_at);

  // Returns true if other instances may read from this one.
  bool has_clients() const { return is_relay_ && has_others_; }

 private:
  const InstanceRecord self_;
  const FeedSourceOptions options_;
  std::vector<InstanceRecord> ranked_;  // The instances of the data centre.
  bool is_relay_ = true;     // Among the first kFeedRelaysPerDataCentre.
  bool has_others_ = false;  // The data centre has more instances than these.
  PeerBackoff backoff_;
  TimePoint takeover_until_;
  bool reads_store_ = false;  // The last choice was the store.
};

// Returns the instances of `data_centre` in the order in which they relay: by
// capacity, then by rendezvous weight.
std::vector<InstanceRecord> RankRelays(
    const std::vector<InstanceRecord>& instances,
    const std::string& data_centre);

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_FEED_SOURCE_H_
