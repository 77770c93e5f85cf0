// A whole deployment of real processes on loopback.
#ifndef GREENGAGE_TESTS_HARNESS_DEPLOYMENT_H_
#define GREENGAGE_TESTS_HARNESS_DEPLOYMENT_H_

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "greengage/state/endpoint.h"
#include "tests/harness/http_calls.h"
#include "tests/harness/process.h"

namespace greengage {

inline constexpr char kService[] = "table-finder";
inline constexpr uint64_t kKeysPerShard = 100;

// How many of each there are. Replica r of every shard is in data centre
// r % data_centres.
struct DeploymentShape {
  size_t data_centres = 1;
  size_t instances_per_data_centre = 2;
  size_t shards = 3;
  size_t replicas = 2;
  std::vector<std::string> searcher_arguments;
  std::string limits;             // Further lines of section [limits].
  std::string instance_settings;  // Further sections of the settings files.
  // Where the instances reach the platform and a searcher, if not directly.
  std::function<Endpoint(const Endpoint&)> platform_proxy;
  std::function<Endpoint(const Endpoint&)> searcher_proxy;
};

// Starts everything, applies a configuration and waits until all instances
// are ready. The destructor stops all that was started.
class Deployment {
 public:
  explicit Deployment(DeploymentShape shape);
  ~Deployment();

  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  const Endpoint& platform() const { return platform_->endpoint(); }
  Process& platform_process() { return *platform_; }
  size_t instances() const { return instances_.size(); }
  Process& instance(size_t index) { return *instances_[index]; }
  Process& searcher(size_t shard, size_t replica);
  const std::vector<std::unique_ptr<Process>>& searchers() const {
    return searchers_;
  }

  // Starts instance `index` again after it has ended.
  void RestartInstance(size_t index);

  // The configuration's text with another index of limits, if given.
  std::string ConfigurationText(const std::string& limits) const;

  // Writes the configuration if its version is `expected`.
  JsonReply PutConfiguration(const std::string& text, uint64_t expected) const;

  // Whether instance `index` answers its readiness with 200.
  bool Ready(size_t index) const;

  // Version in force at instance `index`.
  uint64_t VersionAt(size_t index) const;

  // Sends `query` with the service's name added to instance `index`.
  JsonReply Query(
      size_t index,
      boost::json::object query,
      std::chrono::milliseconds timeout = std::chrono::seconds(10)) const;

  // How often the searchers together ran work of `request_id`.
  uint64_t Executions(const std::string& request_id) const;

  // Sets the faults of all searchers.
  void SetSearcherFaults(const boost::json::object& faults) const;

 private:
  void StartSearchers();
  void WriteSettings(size_t index) const;
  std::unique_ptr<Process> StartInstance(size_t index) const;
  std::string PathOf(const std::string& file) const;

  const DeploymentShape shape_;
  std::string folder_;
  std::vector<uint16_t> gossip_ports_;
  std::unique_ptr<Process> platform_;
  std::vector<std::unique_ptr<Process>> searchers_;  // By shard, replica.
  std::vector<Endpoint> searcher_endpoints_;
  std::vector<std::unique_ptr<Process>> instances_;
};

// An id for a request made now by a caller.
std::string MakeRequestId(const std::string& suffix);

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_DEPLOYMENT_H_
