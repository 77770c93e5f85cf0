// Applies configurations with greengagectl to instances that run as child
// processes.
#include <boost/json.hpp>

#include <chrono>
#include <csignal>
#include <memory>
#include <thread>

#include "greengage/transport/http_client.h"
#include "tests/harness/free_port.h"
#include "tests/harness/program.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

using namespace std::chrono_literals;

constexpr char kConfiguration[] = R"([deployment]
name = demo
[rank urgent]
name = guest
floor_percent = 0
target_ms = 250
[rank normal]
name = suggest
floor_percent = 10
target_ms = 250
[rank background]
name = publish
floor_percent = 10
target_ms = 250
[service s]
key_space = 100
[shard s/0]
range = 0-99
replicas = 127.0.0.1:9
[searcher 127.0.0.1:9]
data_centre = a
)";

struct CommandResult {
  int exit_code = -1;
  std::string output;
  boost::json::object json;
};

// A platform and two instances. Commands get only the endpoint of the first.
class Deployment {
 public:
  Deployment() : platform_("greengage-platform", {}) {
    const std::string line = platform_.ReadLine();
    platform_endpoint_ = line.substr(line.find(' ') + 1);
    configuration_ = TemporaryFile(kConfiguration);
    for (size_t index = 0; index < 2; ++index) {
      StartInstance(index);
    }
  }

  std::vector<std::string> Arguments(std::vector<std::string> command) const {
    command.insert(command.end(),
                   {"--json", "--timeout-ms", "1000", "--platform",
                    platform_endpoint_, "--instance", http_[0]});
    return command;
  }

  std::unique_ptr<Program> Start(std::vector<std::string> command) const {
    return std::make_unique<Program>("greengagectl",
                                     Arguments(std::move(command)));
  }

  std::unique_ptr<Program> StartApply(std::vector<std::string> more) const {
    more.insert(more.begin(), {"apply", configuration_});
    return Start(std::move(more));
  }

  static CommandResult Finish(Program& program) {
    CommandResult result;
    result.exit_code = program.Wait(&result.output);
    boost::system::error_code error;
    const auto value = boost::json::parse(result.output, error);
    if (!error && value.is_object()) {
      result.json = value.get_object();
    }
    return result;
  }

  CommandResult Apply(std::vector<std::string> more) const {
    return Finish(*StartApply(std::move(more)));
  }

  void SetFaults(const std::string& faults) const {
    HttpCall call{"POST", "/faults", faults,
                  std::chrono::steady_clock::now() + 5s};
    cr_assert(CallAndWait(*ParseEndpoint(platform_endpoint_), call, 5s).ok());
  }

  Program& instance(size_t index) { return *instances_.at(index); }

 private:
  void StartInstance(size_t index) {
    const std::string id(1, static_cast<char>('a' + index));
    const std::string host = "127.0.0.1:";
    http_[index] = host + std::to_string(FreePort());
    gossip_[index] = host + std::to_string(FreePort());
    const std::string settings =
        "[instance]\nid = " + id + "\ndata_centre = " + id +
        "\n[listen]\nhttp = " + http_[index] + "\npeer = " + host +
        std::to_string(FreePort()) + "\ngossip = " + gossip_[index] +
        "\n[platform]\nendpoint = " + platform_endpoint_ +
        "\n[seeds]\ngossip = " + gossip_[0] + "\n[log]\nlevel = error\n";
    instances_.push_back(std::make_unique<Program>(
        "greengaged",
        std::vector<std::string>{"--settings", TemporaryFile(settings)}));
  }

  Program platform_;
  std::string platform_endpoint_;
  std::string configuration_;
  std::string http_[2];
  std::string gossip_[2];
  std::vector<std::unique_ptr<Program>> instances_;
};

// Waits until both instances are members of the same deployment.
void WaitForBothInstances(const Deployment& deployment) {
  for (int round = 0; round < 100; ++round) {
    const CommandResult status =
        Deployment::Finish(*deployment.Start({"status"}));
    if (status.exit_code == 0 && status.json.contains("in_force") &&
        status.json.at("in_force").as_array().size() == 2) {
      return;
    }
    std::this_thread::sleep_for(100ms);
  }
  cr_assert_fail("the instances did not become members of the same deployment");
}

}  // namespace

Test(Greengagectl, ResolvesALostAnswerAndWaitsForAllInstances) {
  const Deployment deployment;
  cr_assert(deployment.Apply({}).exit_code == 0);
  WaitForBothInstances(deployment);
  deployment.SetFaults(R"({"lose_answers": 1, "lose_kind": "configuration"})");
  const CommandResult result = deployment.Apply({});
  cr_assert(result.exit_code == 0, "%s", result.output.c_str());
  cr_assert(result.json.at("version") == 2);
  cr_assert(result.json.at("in_force").as_array().size() == 2);
}

Test(Greengagectl, AppliesTheChangeOfOneOfTwoOperators) {
  const Deployment deployment;
  cr_assert(deployment.Apply({}).exit_code == 0);
  deployment.SetFaults(R"({"slow_ms": 100, "lose_answers": 1})");
  const auto first = deployment.StartApply({"--expected", "1", "--no-wait"});
  const auto second = deployment.StartApply({"--expected", "1", "--no-wait"});
  const CommandResult result[] = {Deployment::Finish(*first),
                                  Deployment::Finish(*second)};
  const size_t loser = result[0].exit_code == 0 ? 1 : 0;
  cr_assert(result[1 - loser].exit_code == 0);
  cr_assert(result[loser].exit_code == 3, "%s", result[loser].output.c_str());
  cr_assert(result[loser].json.at("version") == 2);
  cr_assert(result[loser].json.at("reason").at("kind") == "conflict");
}

Test(Greengagectl, NamesTheInstanceWithoutTheConfiguration) {
  Deployment deployment;
  cr_assert(deployment.Apply({}).exit_code == 0);
  WaitForBothInstances(deployment);
  deployment.instance(1).Signal(SIGSTOP);
  const CommandResult result = deployment.Apply({"--wait-s", "1"});
  cr_assert(result.exit_code == 6, "%s", result.output.c_str());
  const auto& lacking = result.json.at("lacking").as_array();
  cr_assert(lacking.size() == 1);
  cr_assert(lacking.front().at("instance") == "b");
  deployment.instance(1).Signal(SIGCONT);
  WaitForBothInstances(deployment);
}

Test(Greengagectl, DistinguishesUnsentFromUnresolvedWrites) {
  const Deployment deployment;
  deployment.SetFaults(R"({"lose_requests": 1000})");
  const CommandResult unsettled = deployment.Apply({"--settle-s", "1"});
  cr_assert(unsettled.exit_code == 5, "%s", unsettled.output.c_str());
  deployment.SetFaults(R"({"lose_requests": 0, "down": true})");
  const CommandResult unsent = deployment.Apply({"--settle-s", "1"});
  cr_assert(unsent.exit_code == 4, "%s", unsent.output.c_str());
}

Test(Greengagectl, ChecksTheWholeFileBeforeItCalls) {
  const std::string file = TemporaryFile("[limits]\nhedge_percent = x\n");
  Program program("greengagectl",
                  {"--json", "--platform", "127.0.0.1:9", "apply", file});
  const CommandResult result = Deployment::Finish(program);
  cr_assert(result.exit_code == 2);
  // One failure for the invalid value and one for each of five missing
  // sections.
  cr_assert(result.json.at("failures").as_array().size() == 6, "%s",
            result.output.c_str());
}

}  // namespace greengage
