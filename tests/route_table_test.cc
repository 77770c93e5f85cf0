#include "greengage/state/route_table.h"

#include <chrono>
#include <string>
#include <utility>

#include <criterion/criterion.h>

namespace greengage {
namespace {

Route MakeRoute(const std::string& name,
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

Test(RouteTable, FindsTheLongestPrefixOfTheHost) {
  RouteTable::Builder builder;
  builder.Add(MakeRoute("short", "a.example", "/x/"))
      .Add(MakeRoute("long", "a.example", "/x/y/"))
      .Add(MakeRoute("other", "b.example", "/"));
  const RouteTablePtr table = *builder.Build();
  cr_assert(FoundName(*table, "a.example", "/x/1") == "short");
  cr_assert(FoundName(*table, "A.example:80", "/x/y/1") == "long");
  cr_assert(FoundName(*table, "a.example", "/x/y") == "short");
  cr_assert(FoundName(*table, "a.example", "/x").empty());
  cr_assert(FoundName(*table, "b.example", "/x/") == "other");
  cr_assert(FoundName(*table, "c.example", "/").empty());
}

Test(RouteTable, RejectsInvalidRoutes) {
  Route without_service = MakeRoute("r", "a", "/");
  without_service.services.clear();
  cr_assert(
      RouteTable::Builder().Add(without_service).Build().last_reason().kind ==
      FailureKind::kIncomplete);
  cr_assert(RouteTable::Builder()
                .Add(MakeRoute("r", "a", "/x"))
                .Build()
                .last_reason()
                .kind == FailureKind::kInvalidSyntax);
  Route without_timeout = MakeRoute("r", "a", "/");
  without_timeout.timeout = {};
  cr_assert(
      RouteTable::Builder().Add(without_timeout).Build().last_reason().kind ==
      FailureKind::kOutOfRange);
}

}  // namespace greengage
