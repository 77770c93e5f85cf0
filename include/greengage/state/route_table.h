// The routes of one version of the configuration.
#ifndef GREENGAGE_STATE_ROUTE_TABLE_H_
#define GREENGAGE_STATE_ROUTE_TABLE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "greengage/state/organisation.h"
#include "greengage/state/result.h"
#include "greengage/state/route.h"

namespace greengage {

// Immutable. A request uses the table that was active at its arrival until it
// ends.
class RouteTable {
 public:
  class Builder;

  uint64_t version() const { return version_; }

  // Returns the route of `host` with the longest matching prefix of `path`, or
  // null if none matches. The host's case and port are ignored. The table owns
  // the route.
  const Route* Find(std::string_view host, std::string_view path) const;

  const RoutedService* FindService(const std::string& name) const;

  const std::vector<Route>& routes() const { return routes_; }

  // Returns whether callers of routes that are not public need a key: the
  // configuration lists organisations, even if the list is empty.
  bool requires_keys() const { return requires_keys_; }

  // Returns the organisation that has the key, or null. The table owns it.
  const Organisation* FindOrganisation(const KeyDigest& key) const;

  // Returns the organisation of that name, or null. The table owns it.
  const Organisation* FindOrganisation(const std::string& name) const;

  const std::vector<Organisation>& organisations() const {
    return organisations_;
  }

  const CallerLimits& limits() const { return limits_; }

 private:
  RouteTable() = default;

  uint64_t version_ = 0;
  CallerLimits limits_;
  std::vector<Route> routes_;
  // Indices of the routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<size_t>> by_host_;
  std::unordered_map<std::string, RoutedService> services_;
  bool requires_keys_ = false;
  std::vector<Organisation> organisations_;
  // Indices of `organisations_`.
  std::unordered_map<KeyDigest, size_t, KeyDigestHash> by_key_;
  std::unordered_map<std::string, size_t> by_name_;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

// Collects routes and services and validates them together.
class RouteTable::Builder {
 public:
  Builder& Version(uint64_t version);
  Builder& Limits(CallerLimits limits);
  Builder& Add(Route route);
  Builder& Add(RoutedService service);
  Builder& RequireKeys();
  Builder& Add(Organisation organisation);

  // Fails with kIncomplete if a route has no service, kOutOfRange if its
  // timeout or number of attempts is not positive, and kInvalidSyntax if its
  // prefix does not begin and end with a slash. Fails with kMissingKey or
  // kDuplicate if an organisation has no name or that of another, and with
  // kDuplicate if two have the same key.
  Result<RouteTablePtr> Build();

 private:
  std::optional<Failure> IndexOrganisations();

  std::shared_ptr<RouteTable> table_{new RouteTable};
};

}  // namespace greengage

#endif  // GREENGAGE_STATE_ROUTE_TABLE_H_
