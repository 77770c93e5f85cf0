#include "greengage/state/route_table.h"

#include <chrono>
#include <string>
#include <utility>

#include <criterion/criterion.h>

namespace greengage {
namespace {

Route RouteOf(const std::string& name,
              const std::string& host,
              const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  route.timeout = std::chrono::milliseconds(100);
  route.services = {{"service", 1}};
  return route;
}

std::string FoundName(const RouteTable& table,
                      std::string_view host,
                      std::string_view path) {
  const Route* const route = table.Find(host, path);
  return route == nullptr ? "" : route->name;
}

}  // namespace

Test(RouteTable, TheLongestPrefixOfTheHostCounts) {
  RouteTable::Builder builder;
  builder.Add(RouteOf("short", "a.example", "/x/"))
      .Add(RouteOf("long", "a.example", "/x/y/"))
      .Add(RouteOf("other", "b.example", "/"));
  const RouteTablePtr table = *builder.Build();
  cr_assert(FoundName(*table, "a.example", "/x/1") == "short");
  cr_assert(FoundName(*table, "A.example:80", "/x/y/1") == "long");
  cr_assert(FoundName(*table, "a.example", "/x/y") == "short");
  cr_assert(FoundName(*table, "a.example", "/x").empty());
  cr_assert(FoundName(*table, "b.example", "/x/") == "other");
  cr_assert(FoundName(*table, "c.example", "/").empty());
}

Test(RouteTable, RefusesRoutesWithoutSense) {
  Route nowhere = RouteOf("r", "a", "/");
  nowhere.services.clear();
  cr_assert(RouteTable::Builder().Add(nowhere).Build().last_reason().kind ==
            FailureKind::kIncomplete);
  cr_assert(RouteTable::Builder()
                .Add(RouteOf("r", "a", "/x"))
                .Build()
                .last_reason()
                .kind == FailureKind::kInvalidSyntax);
  Route timeless = RouteOf("r", "a", "/");
  timeless.timeout = {};
  cr_assert(RouteTable::Builder().Add(timeless).Build().last_reason().kind ==
            FailureKind::kOutOfRange);
}

}  // namespace greengage
