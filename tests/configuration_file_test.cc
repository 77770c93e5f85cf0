#include "greengage/protocol/configuration_file.h"

#include <algorithm>
#include <sstream>

#include "protocol/configuration_tables.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr char kValid[] = R"([deployment]
name = kettlebrook

[limits]
hedge_percent = 3

[rank urgent]
name = guest
floor_percent = 0
target_ms = 250
[rank normal]
name = suggest
floor_percent = 20
target_ms = 100
[rank background]
name = publish
floor_percent = 10
target_ms = 60000

[service table-finder]
key_space = 10000
[shard table-finder/1]
range = 5000-9999
replicas = 10.0.0.2:80
[shard table-finder/0]
range = 0-4999
replicas = 10.0.0.1:80 [::1]:80

[searcher 10.0.0.1:80]
data_centre = a
[searcher 10.0.0.2:80]
data_centre = b
slots = 3
[searcher [::1]:80]
data_centre = c
)";

// `kValid` with its first `from` replaced.
std::string With(const std::string& from, const std::string& to) {
  std::string text = kValid;
  const size_t at = text.find(from);
  cr_assert(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

// Whether `text` fails with just one failure, of this kind and subject.
bool FailsOnlyWith(const std::string& text,
                   FailureKind kind,
                   const std::string& subject) {
  const auto configuration = ParseConfiguration(text, "f", 1);
  for (const Failure& failure : configuration.failures()) {
    cr_log_info("%s", Describe(failure).c_str());
  }
  return configuration.failures().size() == 1 &&
         configuration.failures().front().kind == kind &&
         configuration.failures().front().subject == subject;
}

}  // namespace

Test(ConfigurationFile, ReadsAndWritesTheSame) {
  const auto read = ParseConfiguration(kValid, "f", 7);
  cr_assert(read.ok());
  cr_assert(read->version == 7);
  cr_assert(read->limits.hedge_percent == 3);
  cr_assert(read->ranks[1].name == "suggest");
  const ServiceConfiguration& service = read->services.at("table-finder");
  cr_assert(service.shards.front().name == "table-finder/0");
  cr_assert((service.shards.front().range == KeyRange{0, 5000}));
  cr_assert(service.shards.front().replicas.size() == 2);
  cr_assert(read->searchers.at({"10.0.0.2", 80}).slots == 3);
  const std::string text = SerializeConfiguration(*read);
  const auto again = ParseConfiguration(text, "f", 7);
  cr_assert(again.ok());
  cr_assert(SerializeConfiguration(*again) == text);
}

Test(ConfigurationFile, NamesSectionAndKeyOfEachFailure) {
  using F = FailureKind;
  const struct {
    std::string from, to;
    FailureKind kind;
    std::string subject;
  } cases[] = {
      {"name = kettlebrook", "", F::kMissingKey, "f [deployment] name"},
      {"hedge_percent = 3", "hedge_percent = 21", F::kOutOfRange,
       "f [limits] hedge_percent"},
      {"hedge_percent = 3", "hedge_percent = 3%", F::kInvalidArgument,
       "f [limits] hedge_percent"},
      {"hedge_percent", "hedging", F::kUnknownKey, "f [limits] hedging"},
      {"[limits]", "[limit]", F::kUnknownSection, "f [limit]"},
      {"name = suggest", "name = guest", F::kDuplicate, "f [rank normal] name"},
      {"floor_percent = 0", "floor_percent = 61", F::kOutOfRange,
       "f [rank *] floor_percent"},
      {"key_space = 10000", "key_space = 10001", F::kIncomplete,
       "f [service table-finder] key_space"},
      {"key_space = 10000", "key_space = 9000", F::kOutOfRange,
       "f [service table-finder] key_space"},
      {"range = 5000", "range = 5001", F::kIncomplete,
       "f [shard table-finder/1] range"},
      {"range = 5000", "range = 4999", F::kDuplicate,
       "f [shard table-finder/1] range"},
      {"range = 5000-9999", "range = 9999-5000", F::kInvalidArgument,
       "f [shard table-finder/1] range"},
      {"10.0.0.2:80\n", "10.0.0.3:80\n", F::kNotFound,
       "f [shard table-finder/1] replicas"},
      {"10.0.0.2:80\n", "10.0.0.1:80 10.0.0.1:80\n", F::kDuplicate,
       "f [shard table-finder/1] replicas"},
      {"10.0.0.2:80\n", "\n", F::kIncomplete,
       "f [shard table-finder/1] replicas"},
      {"[shard table-finder/1]", "[shard table-finder/01]", F::kInvalidArgument,
       "f [shard table-finder/01]"},
      {"[searcher 10.0.0.2:80]",
       "[searcher 10.0.0.1:080]\ndata_centre = a\n[searcher 10.0.0.2:80]",
       F::kDuplicate, "f [searcher 10.0.0.1:080]"},
      {"slots = 3", "slots = 0", F::kOutOfRange,
       "f [searcher 10.0.0.2:80] slots"},
      {"[service table", "[service b]\nkey_space = 1\n[service table",
       F::kIncomplete, "f [service b]"},
  };
  for (const auto& test : cases) {
    cr_expect(FailsOnlyWith(With(test.from, test.to), test.kind, test.subject),
              "%s", test.to.c_str());
  }
}

Test(ConfigurationFile, ReportsAllFailuresAtOnce) {
  const auto read = ParseConfiguration(
      "[limits]\nhedge_percent = x\nqueue_per_searcher = 0\n"
      "[shard s/0]\nrange = 0-1\nreplicas = 1.1.1.1:1\n[searcher x]\n",
      "f", 0);
  cr_assert(!read.ok());
  // Two values, a searcher's name and data centre, five missing sections, a
  // missing service of a shard and a missing searcher.
  cr_assert(read.failures().size() == 11, "%zu", read.failures().size());
}

Test(ConfigurationFile, RefusesWhatThePlatformCannotHold) {
  const std::string text(kMaxConfigurationBytes + 1, '\n');
  const auto read = ParseConfiguration(text, "f", 0);
  cr_assert(read.failures().front().kind == FailureKind::kTooLarge);
}

Test(ConfigurationFile, TablesGiveTheInitialValuesOfTheStructs) {
  Configuration configuration;
  DeploymentTable().AssignDefaults(configuration);
  LimitsTable().AssignDefaults(configuration.limits);
  cr_assert(SerializeConfiguration(configuration) ==
            SerializeConfiguration(Configuration()));
}

}  // namespace greengage
