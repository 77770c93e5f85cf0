// Guards against requests that are served, or handed on, where they must not
// be.
#include "greengage/coordination/placement_rules.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "greengage/coordination/gatherers.h"
#include "greengage/coordination/request_plan.h"
#include "tests/harness/plan_fixture.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

using std::chrono::milliseconds;

const std::map<std::string, std::string> kRegions{{"north-a", "north"},
                                                  {"north-b", "north"},
                                                  {"south-a", "south"}};

RequestTerms RestrictedTo(std::vector<std::string> regions) {
  RequestTerms terms;
  terms.allowed_regions = std::move(regions);
  terms.is_restricted = true;
  return terms;
}

}  // namespace

Test(PlacementRules, RestrictsSearchersToTheAllowedRegions) {
  const PlacementRules rules("north-a", kRegions);
  const RequestTerms north = RestrictedTo({"north"});
  cr_assert(rules.AllowsSearcher(north, "north-b"));
  cr_assert_not(rules.AllowsSearcher(north, "south-a"));
  cr_assert_not(rules.AllowsSearcher(north, "unknown"));
  cr_assert_not(rules.AllowsSearcher(RestrictedTo({}), "north-a"));
  cr_assert(rules.AllowsSearcher(RequestTerms{}, "unknown"));
}

// The region of the instance need not be the caller's.
Test(PlacementRules, RestrictsPeersToTheAllowedRegions) {
  const PlacementRules rules("north-a", kRegions);
  const RequestTerms south = RestrictedTo({"south"});
  cr_assert_not(rules.AllowsPeer(south, "north-a"));
  cr_assert_not(rules.AllowsPeer(south, "north-b"));
  cr_assert(rules.AllowsPeer(south, "south-a"));
  cr_assert(rules.AllowsPeer(RequestTerms{}, "south-a"));
  cr_assert(rules.AllowsPeer(RequestTerms{}, "unknown"));
  cr_assert_not(rules.AllowsPeer(RestrictedTo({"north"}), "south-a"));
  cr_assert_not(rules.AllowsPeer(south, "unknown"));
}

// Bytes between data centres are expensive, so that only requests that must
// leave this one do.
Test(PlacementRules, KeepsUnrestrictedGathersInTheDataCentre) {
  const PlacementRules rules("north-a", kRegions);
  cr_assert(rules.AllowsGatherer(RequestTerms{}, "north-a"));
  cr_assert_not(rules.AllowsGatherer(RequestTerms{}, "north-b"));
  cr_assert(rules.AllowsGatherer(RestrictedTo({"north"}), "north-b"));
  cr_assert(rules.AllowsGatherer(RestrictedTo({"south"}), "south-a"));
  cr_assert_not(rules.AllowsGatherer(RestrictedTo({"south"}), "north-a"));
}

Test(PlacementRules, ExcludesEvacuatedDataCentresUntilTheyAreBack) {
  PlacementRules rules("north-a", kRegions);
  cr_assert(rules.SetEvacuated("north-b", true));
  cr_assert_not(rules.SetEvacuated("north-b", true));
  cr_assert_not(rules.AllowsSearcher(RequestTerms{}, "north-b"));
  cr_assert(rules.AllowsPeer(RequestTerms{}, "north-b"));
  cr_assert(rules.SetEvacuated("north-b", false));
  cr_assert(rules.AllowsSearcher(RequestTerms{}, "north-b"));
}

// All searchers of the fixture are in the data centre "here".
Test(PlacementRules, RejectsARequestAtOnceIfNoSearcherMayServeIt) {
  for (const bool gathers : {false, true}) {
    PlanFixture fixture(4, 2);
    fixture.context.placement.SetEvacuated("here", true);
    RequestPlan plan = fixture.Plan(
        gathers ? GatherRoute(4, 1) : SingleRoute(RequestKind::kIdempotent),
        milliseconds(1000));
    const RequestActions actions = plan.Start(kPlanStart);
    cr_assert(actions.sends.empty());
    cr_assert(actions.result.has_value());
    cr_assert(actions.result->outcome == RequestOutcome::kNotRun);
  }
}

// Peers of other regions are the last resort of an instance that is cut off.
Test(PlacementRules, HandsNoRequestToPeersThatMustNotHaveIt) {
  std::minstd_rand random;
  GathererChooser chooser("self");
  const Endpoint endpoint{"127.0.0.1", 1};
  chooser.SetGatherers({}, {{"far", "south-a", endpoint, 1}});
  cr_assert_not_null(chooser.Choose(kPlanStart, {}, random));
  cr_assert_null(
      chooser.Choose(kPlanStart, {}, random, [](const InstanceRecord& peer) {
        return peer.data_centre != "south-a";
      }));
}

}  // namespace greengage
