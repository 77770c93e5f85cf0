#include "tests/harness/deployment.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <utility>

#include "greengage/state/platform_object.h"
#include "greengage/state/time.h"

#include <criterion/criterion.h>

#include "tests/harness/free_port.h"

namespace greengage {

namespace {

constexpr char kRanks[] =
    "[rank urgent]\nname = guest\nfloor_percent = 0\ntarget_ms = 250\n"
    "[rank normal]\nname = suggest\nfloor_percent = 20\ntarget_ms = 100\n"
    "[rank background]\nname = publish\nfloor_percent = 10\n"
    "target_ms = 60000\n";

std::string DataCentreName(size_t index) {
  return "dc-" + std::to_string(index);
}

Endpoint Reached(const std::function<Endpoint(const Endpoint&)>& reach,
                 const Endpoint& endpoint) {
  return reach ? reach(endpoint) : endpoint;
}

}  // namespace

Deployment::Deployment(DeploymentShape shape) : shape_(std::move(shape)) {
  std::string folder =
      std::filesystem::temp_directory_path() / "greengage-test-XXXXXX";
  cr_assert(mkdtemp(folder.data()) != nullptr);
  folder_ = folder;
  platform_ = std::make_unique<Process>(
      "greengage-platform", std::vector<std::string>{"--listen", "127.0.0.1:0"},
      PathOf("log"));
  StartSearchers();
  const size_t count = shape_.data_centres * shape_.instances_per_data_centre;
  for (size_t i = 0; i < count; ++i) {
    gossip_ports_.push_back(FreePort());
  }
  const JsonReply applied =
      PutConfiguration(ConfigurationText(shape_.limits), 0);
  cr_assert(applied.status == 200, "applying gave %u", applied.status);
  for (size_t i = 0; i < count; ++i) {
    WriteSettings(i);
    instances_.push_back(StartInstance(i));
  }
  for (size_t i = 0; i < count; ++i) {
    cr_assert(Eventually([&] { return Ready(i); }), "%zu is not ready", i);
  }
  // All know each other, so that owners are the same everywhere.
  for (size_t i = 0; i < count; ++i) {
    cr_assert(Eventually([&] {
      const JsonReply status =
          Call(instance(i).endpoint(), "GET", "/v1/status");
      const auto* members = status.body.if_contains("members");
      return members != nullptr && members->is_array() &&
             members->get_array().size() == count;
    }));
  }
}

Deployment::~Deployment() {
  instances_.clear();
  searchers_.clear();
  platform_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

Process& Deployment::searcher(size_t shard, size_t replica) {
  return *searchers_[shard * shape_.replicas + replica];
}

void Deployment::StartSearchers() {
  for (size_t i = 0; i < shape_.shards * shape_.replicas; ++i) {
    std::vector<std::string> arguments = shape_.searcher_arguments;
    arguments.insert(arguments.end(), {"--listen", "127.0.0.1:0", "--seed",
                                       std::to_string(i + 1)});
    searchers_.push_back(std::make_unique<Process>("greengage-searcher",
                                                   arguments, PathOf("log")));
    searcher_endpoints_.push_back(
        Reached(shape_.searcher_proxy, searchers_.back()->endpoint()));
  }
}

std::string Deployment::ConfigurationText(const std::string& limits) const {
  const size_t keys = shape_.shards * kKeysPerShard;
  std::string text = "[deployment]\nname = test\n[limits]\n" + limits + "\n";
  text += kRanks;
  text += "[service " + std::string(kService) +
          "]\nkey_space = " + std::to_string(keys) + "\ndeadline_ms = 2000\n";
  for (size_t shard = 0; shard < shape_.shards; ++shard) {
    text += "[shard " + std::string(kService) + "/" + std::to_string(shard) +
            "]\nrange = " + std::to_string(shard * kKeysPerShard) + "-" +
            std::to_string((shard + 1) * kKeysPerShard - 1) + "\nreplicas =";
    for (size_t replica = 0; replica < shape_.replicas; ++replica) {
      text += " " +
              ToString(searcher_endpoints_[shard * shape_.replicas + replica]);
    }
    text += "\n";
  }
  for (size_t i = 0; i < searcher_endpoints_.size(); ++i) {
    const size_t data_centre = i % shape_.replicas % shape_.data_centres;
    text += "[searcher " + ToString(searcher_endpoints_[i]) +
            "]\ndata_centre = " + DataCentreName(data_centre) + "\n";
  }
  return text;
}

JsonReply Deployment::PutConfiguration(const std::string& text,
                                       uint64_t expected) const {
  const ObjectKey object = ConfigurationObject();
  return Call(platform(), "PUT",
              "/objects/" + object.kind + "/" + object.name +
                  "?expected=" + std::to_string(expected),
              text);
}

bool Deployment::Ready(size_t index) const {
  return Call(instances_[index]->endpoint(), "GET", "/readyz").status == 200;
}

uint64_t Deployment::VersionAt(size_t index) const {
  return Call(instances_[index]->endpoint(), "GET", "/v1/status")
      .Number("configuration_version");
}

JsonReply Deployment::Query(size_t index,
                            boost::json::object query,
                            std::chrono::milliseconds timeout) const {
  query["service"] = kService;
  return Call(instances_[index]->endpoint(), "POST", "/v1/query",
              boost::json::serialize(query), timeout);
}

uint64_t Deployment::Executions(const std::string& request_id) const {
  uint64_t sum = 0;
  for (const auto& searcher : searchers_) {
    sum += Call(searcher->endpoint(), "GET",
                "/executions?request_id=" + request_id)
               .Number("executions");
  }
  return sum;
}

void Deployment::SetSearcherFaults(const boost::json::object& faults) const {
  for (const auto& searcher : searchers_) {
    SetFaults(searcher->endpoint(), faults);
  }
}

void Deployment::RestartInstance(size_t index) {
  instances_[index] = StartInstance(index);
}

void Deployment::WriteSettings(size_t index) const {
  std::ofstream file(PathOf(std::to_string(index) + ".ini"));
  file << "[instance]\nid = entry-" << index << "\ndata_centre = "
       << DataCentreName(index / shape_.instances_per_data_centre)
       << "\n[listen]\nhttp = 127.0.0.1:0\npeer = 127.0.0.1:0\n"
       << "gossip = 127.0.0.1:" << gossip_ports_[index]
       << "\n[platform]\nendpoint = "
       << ToString(Reached(shape_.platform_proxy, platform()))
       << "\n[seeds]\ngossip =";
  for (const uint16_t port : gossip_ports_) {
    if (port != gossip_ports_[index]) {
      file << " 127.0.0.1:" << port;
    }
  }
  file << "\n" << shape_.instance_settings;
}

std::unique_ptr<Process> Deployment::StartInstance(size_t index) const {
  return std::make_unique<Process>(
      "greengaged",
      std::vector<std::string>{"--settings",
                               PathOf(std::to_string(index) + ".ini")},
      PathOf("log"));
}

std::string Deployment::PathOf(const std::string& file) const {
  return folder_ + "/" + file;
}

std::string MakeRequestId(const std::string& suffix) {
  const auto now = SinceEpoch(std::chrono::system_clock::now());
  return std::to_string(now.count()) + "-" + suffix;
}

}  // namespace greengage
