// Guards against callers that are refused although the configuration has their
// key, and against those that are served without one.
#include "greengage/coordination/caller_access.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "greengage/state/request_terms.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr char kScheme[] = "Token";

Organisation MakeOrganisation(const std::string& name, const std::string& key) {
  Organisation organisation;
  organisation.name = name;
  organisation.keys = {DigestOfKey(key)};
  return organisation;
}

Route MakeRoute(const std::string& name) {
  Route route;
  route.name = name;
  route.host = "h";
  route.path_prefix = "/" + name + "/";
  route.timeout = std::chrono::milliseconds(1000);
  route.priority = 2;
  route.services = {{"s", 1}};
  return route;
}

// Has the routes "closed" and "open", the latter of which needs no key.
RouteTablePtr MakeTable(const std::vector<Organisation>& organisations) {
  RouteTable::Builder builder;
  builder.Add(MakeRoute("closed"));
  Route open = MakeRoute("open");
  open.is_public = true;
  builder.Add(std::move(open));
  for (const Organisation& organisation : organisations) {
    builder.Add(organisation);
  }
  return *builder.Build();
}

CallerAccess Decide(const RouteTable& table,
                    const std::string& path,
                    const std::optional<std::string>& authorization) {
  return DecideAccess(table, *table.Find("h", path),
                      KeyOfCaller(kScheme, authorization));
}

}  // namespace

Test(CallerAccess, NamesTheOrganisationOfAKey) {
  const RouteTablePtr table =
      MakeTable({MakeOrganisation("a", "k1"), MakeOrganisation("b", "k2")});
  for (const char* const text : {"Token k2", "token  k2", "TOKEN k2 "}) {
    const CallerAccess access = Decide(*table, "/closed/", text);
    cr_assert(access.verdict == AccessVerdict::kAllowed);
    cr_assert_eq(access.organisation->name, "b");
  }
}

Test(CallerAccess, RejectsCallersWithoutAKeyOfTheConfiguration) {
  const RouteTablePtr table = MakeTable({MakeOrganisation("a", "k1")});
  for (const char* const text : {"Token k2", "Token k", "Token k1x"}) {
    cr_assert(Decide(*table, "/closed/", text).verdict ==
              AccessVerdict::kUnknownKey);
  }
  for (const char* const text : {"", "Token", "Token ", "Bearer k1", "k1"}) {
    cr_assert(Decide(*table, "/closed/", text).verdict ==
              AccessVerdict::kNoKey);
  }
  cr_assert(Decide(*table, "/closed/", std::nullopt).verdict ==
            AccessVerdict::kNoKey);
}

Test(CallerAccess, KnowsCallersOfPublicRoutesIfTheyHaveAKey) {
  const RouteTablePtr table = MakeTable({MakeOrganisation("a", "k1")});
  cr_assert_eq(Decide(*table, "/open/", "Token k1").organisation->name, "a");
  for (const char* const text : {"Token k2", "Bearer x", ""}) {
    const CallerAccess access = Decide(*table, "/open/", text);
    cr_assert(access.verdict == AccessVerdict::kAllowed);
    cr_assert_null(access.organisation);
  }
}

Test(CallerAccess, AllowsEverythingWithoutOrganisations) {
  const RouteTablePtr table = MakeTable({});
  const CallerAccess access = Decide(*table, "/closed/", "Token any");
  cr_assert(access.verdict == AccessVerdict::kAllowed);
  cr_assert_null(access.organisation);
}

// An operator who removes the last organisation must not open the system.
Test(CallerAccess, RejectsEveryKeyIfTheListOfOrganisationsIsEmpty) {
  RouteTable::Builder builder;
  builder.Add(MakeRoute("closed"));
  builder.RequireKeys();
  const RouteTablePtr table = *builder.Build();
  cr_assert(Decide(*table, "/closed/", "Token k1").verdict ==
            AccessVerdict::kUnknownKey);
}

Test(CallerAccess, RejectsCallersWhomNoRegionMayServe) {
  Route route = MakeRoute("closed");
  route.allowed_regions = {"north"};
  Organisation organisation = MakeOrganisation("a", "k1");
  organisation.allowed_regions = {"south"};
  RouteTable::Builder builder;
  builder.Add(std::move(route));
  builder.Add(std::move(organisation));
  const RouteTablePtr table = *builder.Build();
  cr_assert(Decide(*table, "/closed/", "Token k1").verdict ==
            AccessVerdict::kNoRegion);
}

Test(RequestTerms, CombinesRouteAndOrganisation) {
  Route route = MakeRoute("r");
  Organisation organisation = MakeOrganisation("a", "k1");
  cr_assert(TermsOf(route, &organisation).rank == Rank::kBackground);
  cr_assert(TermsOf(route, &organisation).AllowsRegion("anywhere"));
  organisation.priority = 0;
  cr_assert(TermsOf(route, &organisation).rank == Rank::kUrgent);
  organisation.allowed_regions = {"north", "south"};
  cr_assert(TermsOf(route, &organisation).AllowsRegion("north"));
  cr_assert_not(TermsOf(route, &organisation).AllowsRegion("east"));
  route.allowed_regions = {"south", "east"};
  const RequestTerms both = TermsOf(route, &organisation);
  cr_assert_not(both.AllowsRegion("north"));
  cr_assert(both.AllowsRegion("south"));
  cr_assert_not(both.AllowsRegion("east"));
  cr_assert_not(both.AllowsRegion(""));
}

Test(RouteTable, RejectsOrganisationsThatCannotBeToldApart) {
  const auto build = [](const Organisation& first, const Organisation& second) {
    RouteTable::Builder builder;
    builder.Add(MakeRoute("r"));
    builder.Add(first);
    builder.Add(second);
    return builder.Build();
  };
  const Organisation organisation = MakeOrganisation("a", "k1");
  cr_assert(
      build(organisation, MakeOrganisation("a", "k2")).last_reason().kind ==
      FailureKind::kDuplicate);
  cr_assert(
      build(organisation, MakeOrganisation("b", "k1")).last_reason().kind ==
      FailureKind::kDuplicate);
  cr_assert(
      build(organisation, MakeOrganisation("", "k2")).last_reason().kind ==
      FailureKind::kMissingKey);
}

Test(KeyDigest, IsTheSha256OfTheKey) {
  // From FIPS 180-4, "abc".
  const std::string text =
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
  cr_assert_eq(ToString(DigestOfKey("abc")), text);
  cr_assert(ParseKeyDigest(text) == DigestOfKey("abc"));
  cr_assert_not(ParseKeyDigest(text.substr(1)).has_value());
  cr_assert_not(ParseKeyDigest("x" + text.substr(1)).has_value());
}

}  // namespace greengage
