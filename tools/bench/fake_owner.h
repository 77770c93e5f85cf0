// The owner of one searcher: its rank queue and its connections, in virtual
// time.
#ifndef TOOLS_BENCH_FAKE_OWNER_H_
#define TOOLS_BENCH_FAKE_OWNER_H_

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "greengage/coordination/connection_monitor.h"
#include "greengage/coordination/rank_queue.h"
#include "tools/bench/fake_searcher.h"

namespace greengage::bench {

struct OwnerOptions {
  RankQueueOptions queue;
  size_t connections = 25;
  // Silent connections are looked for and replaced; the naive owner keeps them
  // for ever.
  bool replaces_silent_connections = true;
};

class FakeOwner {
 public:
  // Runs when a sub-request ends at the owner, in whatever way.
  using EndHook = std::function<void(CallId, SubAnswer)>;

  FakeOwner(EventQueue* events,
            SubCallTable* calls,
            FakeSearcher* searcher,
            const Shape* shape,
            uint64_t seed,
            OwnerOptions options,
            EndHook on_end);

  // A sub-request arrives from an entry.
  void Submit(CallId id);

  // The entry gives up a sub-request.
  void Cancel(CallId id);

  // An answer arrives from the searcher.
  void OnAnswer(CallId id, SubAnswer answer);

  // The searcher died: everything sent to it is lost.
  void OnKilled();

  // Something on the way forgets all connections that are open now.
  void SilenceConnections();

  // Replaces silent connections and probes idle ones; call now and then.
  void CheckConnections();

  // The longest time, up to `now`, from the first request on a silent
  // connection to the end of that connection.
  Duration MaxSilentTime(TimePoint now) const;

 private:
  struct Connection {
    bool open = false;  // False while it is being opened.
    bool silent = false;
    std::optional<CallId> call;
    bool probing = false;
    std::optional<TimePoint> first_silent_use;
  };

  void SendQueued();
  void FinishDropped(const QueuedSubRequest& dropped);
  void Send(CallId id);
  void SendOn(uint64_t key, CallId id);
  uint64_t Open(std::optional<CallId> waiting);
  void OnOpened(uint64_t key, std::optional<CallId> waiting);
  void Close(uint64_t key);
  void OpenSpareConnections();
  void Probe(uint64_t key);
  void OnProbed(uint64_t key);
  void ProbeOnNewConnection();
  void EndNewConnectionProbe(uint64_t key);
  void Finish(CallId id, SubAnswer answer);
  bool IsActive(CallId id) const;
  void Fail(CallId id, Outcome outcome);
  std::optional<uint64_t> IdleConnection() const;

  EventQueue* const events_;
  SubCallTable* const calls_;
  FakeSearcher* const searcher_;
  const Shape* const shape_;
  const OwnerOptions options_;
  EndHook on_end_;
  std::minstd_rand random_;
  RankQueue queue_;
  std::map<uint64_t, CallId> waiting_;  // By sub-request id.
  std::map<uint64_t, Connection> connections_;
  std::vector<CallId>
      awaiting_connection_;  // Taken from the queue, without a connection.
  uint64_t next_connection_ = 1;
  ConnectionMonitor monitor_;
  std::optional<uint64_t>
      new_connection_probe_;  // Connection opened for a probe.
  Duration max_silent_time_{};
};

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_FAKE_OWNER_H_
