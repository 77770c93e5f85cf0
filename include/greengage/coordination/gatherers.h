// Chooses the instances that gather the parts of queries for all others.
#ifndef GREENGAGE_COORDINATION_GATHERERS_H_
#define GREENGAGE_COORDINATION_GATHERERS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "greengage/coordination/peer_backoff.h"
#include "greengage/state/instance_record.h"
#include "greengage/state/time.h"

namespace greengage {

struct GathererSet {
  // The gatherers of the own data centre. Empty if each instance gathers its
  // own queries.
  std::vector<InstanceRecord> local;
  std::vector<InstanceRecord> remote;  // Those of other data centres.
  std::vector<std::string> ids;        // Of those of all data centres, sorted.

  size_t total() const { return ids.size(); }
};

// Selects the gatherers among `instances`. A searcher takes `max_connections`
// connections. If these are enough for a few from each instance, each gathers
// its own queries. Otherwise a few large instances in each data centre do, so
// that their connections stay open and busy: an instance that sees a query
// every few seconds would open a connection to each shard every time.
GathererSet SelectGatherers(const std::vector<InstanceRecord>& instances,
                            const std::string& data_centre,
                            double max_connections);

// Distributes the queries of one instance over the gatherers of its data
// centre, or the requests of one that is cut off over its peers. Not
// thread-safe.
class GathererChooser {
 public:
  static constexpr size_t kMaxGatherersTried = 2;

  explicit GathererChooser(std::string self_id)
      : self_id_(std::move(self_id)), backoff_(PeerBackoffOptions{}) {}

  // `others` are chosen if no gatherer is usable, or after a query was offered
  // to kMaxGatherersTried of them: those of a data centre may be lost together.
  void SetGatherers(std::vector<InstanceRecord> gatherers,
                    std::vector<InstanceRecord> others = {});

  // Returns true if this instance gathers its own queries: it is a gatherer, or
  // there is none.
  bool gathers_itself() const { return gathers_itself_; }

  using Filter = std::function<bool(const InstanceRecord&)>;

  // Returns the less busy of two random gatherers that are not in `tried`, did
  // not fail recently and are accepted by `filter`, if it is set; or null if
  // there is none. The pointer is valid until the next call of SetGatherers().
  const InstanceRecord* Choose(TimePoint now,
                               const std::vector<std::string>& tried,
                               std::minstd_rand& random,
                               const Filter& filter = nullptr) const;

  void OnSent(const std::string& gatherer) { ++in_flight_[gatherer]; }
  void OnAnswered(const std::string& gatherer);
  void OnFailed(TimePoint now,
                const std::string& gatherer,
                PeerFailure failure);

  // Reports that the call has ended on behalf of the caller.
  void OnAbandoned(const std::string& gatherer) { EndCall(gatherer); }

 private:
  void EndCall(const std::string& gatherer);
  size_t InFlight(const std::string& gatherer) const;

  // Returns those of `among` that Choose() may return.
  std::vector<const InstanceRecord*> Usable(
      TimePoint now,
      const std::vector<InstanceRecord>& among,
      const std::vector<std::string>& tried,
      const Filter& filter) const;

  const std::string self_id_;
  std::vector<InstanceRecord> gatherers_;
  std::vector<InstanceRecord> others_;
  bool gathers_itself_ = true;
  std::map<std::string, size_t> in_flight_;
  PeerBackoff backoff_;
};

}  // namespace greengage

#endif  // GREENGAGE_COORDINATION_GATHERERS_H_
