// A complete deployment of processes on the loopback interface.
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

// Size and settings of a deployment. Replica r of every shard is in data centre
// r % data_centres.
struct DeploymentShape {
  size_t data_centres = 1;
  size_t instances_per_data_centre = 2;
  size_t shards = 3;
  size_t replicas = 2;
  std::vector<std::string> searcher_arguments;
  std::string limits;             // Additional lines of section [limits].
  std::string instance_settings;  // Additional sections of the settings files.
  // Map the endpoint of the platform or of a searcher to the one that instances
  // connect to, as that of a relay. The default is a direct connection.
  std::function<Endpoint(const Endpoint&)> platform_proxy;
  std::function<Endpoint(const Endpoint&)> searcher_proxy;
};

// The constructor starts all processes, applies a configuration and waits until
// all instances are ready. The destructor kills the processes.
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

  // Restarts instance `index` after it has ended.
  void RestartInstance(size_t index);

  // Returns the text of the configuration with `limits` as the lines of section
  // [limits].
  std::string ConfigurationText(const std::string& limits) const;

  // Writes the configuration if its current version is `expected`.
  JsonReply PutConfiguration(const std::string& text, uint64_t expected) const;

  // Returns whether the readiness probe of instance `index` returns 200.
  bool Ready(size_t index) const;

  // Returns the version of the configuration that is active at instance
  // `index`.
  uint64_t VersionAt(size_t index) const;

  // Adds the name of the service to `query` and sends it to instance `index`.
  JsonReply Query(
      size_t index,
      boost::json::object query,
      std::chrono::milliseconds timeout = std::chrono::seconds(10)) const;

  // Returns how often the searchers in total have run `request_id`.
  uint64_t Executions(const std::string& request_id) const;

  // Sets the injected faults of all searchers.
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
  std::vector<std::unique_ptr<Process>> searchers_;  // By shard and replica.
  std::vector<Endpoint> searcher_endpoints_;
  std::vector<std::unique_ptr<Process>> instances_;
};

// Returns a request id with the current time, as callers create it.
std::string MakeRequestId(const std::string& suffix);

}  // namespace greengage

#endif  // GREENGAGE_TESTS_HARNESS_DEPLOYMENT_H_
