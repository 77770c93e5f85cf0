// Exchanges the datagrams by which instances keep quotas together.
#ifndef GREENGAGE_TRANSPORT_QUOTA_SERVICE_H_
#define GREENGAGE_TRANSPORT_QUOTA_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "greengage/coordination/quota_gate.h"
#include "greengage/coordination/quota_ledger.h"
#include "greengage/state/endpoint.h"
#include "greengage/state/instance_record.h"
#include "greengage/state/result.h"
#include "greengage/transport/datagram_socket.h"

namespace greengage {

// Not thread-safe: runs on the single thread of the io_context.
class QuotaService : public std::enable_shared_from_this<QuotaService> {
 public:
  struct Options {
    std::string self_id;
    uint64_t process = 0;  // Differs for each process of the instance.
    Endpoint listen;       // UDP; that of other instances is their `peer`.
    std::map<std::string, std::string> regions;  // By data centre.
    QuotaLedgerOptions ledger;
  };

  struct Hooks {
    // Returns the quota of an organisation in the active configuration.
    QuotaLedger::QuotaHook quota;
    // Runs when a ledger of this instance begins, changes or ends to limit an
    // organisation, with the level of its bucket.
    std::function<void(const QuotaShare&, double level)> on_limited;
  };

  QuotaService(boost::asio::io_context& context, Options options, Hooks hooks);

  // Opens the socket, unless it is open. Fails with kAddressInUse or
  // kInvalidArgument.
  Result<Done> Start();
  void Stop();
  bool is_running() const { return socket_ != nullptr; }

  // Sets the instances of the registry.
  void SetInstances(const std::vector<InstanceRecord>& instances);

  QuotaVerdict Admit(const Organisation& organisation,
                     const LimitShare& own_share);

  void OnNotRun(const std::string& organisation) {
    gate_.OnNotRun(organisation);
  }

 private:
  void ScheduleTick();
  void Tick();
  void SendNotices();
  void OnDatagram(const Endpoint& sender, const std::string& datagram);

  boost::asio::io_context& context_;
  const Options options_;
  const Hooks hooks_;
  QuotaGate gate_;
  QuotaLedger ledger_;
  std::vector<InstanceRecord> instances_;
  std::map<std::string, bool> limited_;  // Organisations, by this ledger.
  std::shared_ptr<DatagramSocket> socket_;
  boost::asio::steady_timer timer_;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_QUOTA_SERVICE_H_
