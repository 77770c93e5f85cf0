#include <fstream>
#include <iterator>
#include <set>

#include "greengage/protocol/configuration_file.h"
#include "greengage/protocol/instance_settings.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr char kFolder[] = GREENGAGE_SOURCE_DIR "/samples/";

Configuration Load(const std::string& name) {
  std::ifstream file(kFolder + name);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  const auto configuration = ParseConfiguration(text, name, 1);
  for (const Failure& failure : configuration.failures()) {
    cr_log_error("%s", Describe(failure).c_str());
  }
  cr_assert(configuration.ok());
  return *configuration;
}

size_t CountSearchers(const Configuration& configuration, const char* service) {
  std::set<Endpoint> searchers;
  for (const ShardConfiguration& shard :
       configuration.services.at(service).shards) {
    searchers.insert(shard.replicas.begin(), shard.replicas.end());
  }
  return searchers.size();
}

std::set<std::string> DataCentres(const Configuration& configuration) {
  std::set<std::string> names;
  for (const auto& [endpoint, searcher] : configuration.searchers) {
    names.insert(searcher.data_centre);
  }
  return names;
}

}  // namespace

Test(Samples, KettlebrookHasExpectedSizes) {
  const Configuration configuration = Load("kettlebrook.ini");
  cr_assert(CountSearchers(configuration, "table-finder") == 50);
  cr_assert(CountSearchers(configuration, "menu-board") == 50);
  cr_assert(CountSearchers(configuration, "owner-ledger") == 15);
  cr_assert(CountSearchers(configuration, "mailer") == 7);
  cr_assert(configuration.searchers.size() == 122);
  cr_assert(DataCentres(configuration).size() == 3);
}

Test(Samples, MukamanaHasExpectedSizes) {
  const Configuration configuration = Load("mukamana.ini");
  cr_assert(CountSearchers(configuration, "sign-finder") == 50);
  cr_assert(CountSearchers(configuration, "inspection-log") == 50);
  cr_assert(CountSearchers(configuration, "order-desk") == 5);
  cr_assert(CountSearchers(configuration, "district-portal") == 3);
  cr_assert(configuration.searchers.size() == 108);
  cr_assert(DataCentres(configuration).size() == 3);
}

Test(Samples, InstanceSettingsAreValid) {
  const auto settings =
      LoadInstanceSettings(std::string(kFolder) + "instance.ini");
  cr_assert(settings.ok());
}

}  // namespace greengage
