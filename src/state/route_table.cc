#include "greengage/state/route_table.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <utility>

namespace greengage {
namespace {

std::string NormalizeHost(std::string_view host) {
  const size_t colon = host.rfind(':');
  const size_t bracket = host.rfind(']');
  if (colon != std::string_view::npos &&
      (bracket == std::string_view::npos || colon > bracket)) {
    host = host.substr(0, colon);
  }
  std::string normal(host);
  std::transform(normal.begin(), normal.end(), normal.begin(), [](char letter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  });
  return normal;
}

std::optional<Failure> Check(const Route& route) {
  const std::string subject = "route " + route.name;
  const std::string& prefix = route.path_prefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    return Failure{FailureKind::kInvalidSyntax, subject,
                   "the path prefix must begin and end with a slash"};
  }
  const bool empty_gather = route.gather && route.gather->shards.empty();
  if (empty_gather || (!route.gather && route.services.empty())) {
    return Failure{FailureKind::kIncomplete, subject, "it names no service"};
  }
  if (route.max_attempts == 0 || route.timeout.count() <= 0) {
    return Failure{FailureKind::kOutOfRange, subject,
                   "attempts and timeout must be above 0"};
  }
  return std::nullopt;
}

}  // namespace

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto found = by_host_.find(NormalizeHost(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  for (const size_t index : found->second) {
    if (path.starts_with(routes_[index].path_prefix)) {
      return &routes_[index];
    }
  }
  return nullptr;
}

const RoutedService* RouteTable::FindService(const std::string& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

const Organisation* RouteTable::FindOrganisation(const KeyDigest& key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : &organisations_[found->second];
}

const Organisation* RouteTable::FindOrganisation(
    const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &organisations_[found->second];
}

RouteTable::Builder& RouteTable::Builder::Version(uint64_t version) {
  table_->version_ = version;
  return *this;
}

RouteTable::Builder& RouteTable::Builder::Limits(CallerLimits limits) {
  table_->limits_ = limits;
  return *this;
}

RouteTable::Builder& RouteTable::Builder::Add(Route route) {
  table_->routes_.push_back(std::move(route));
  return *this;
}

RouteTable::Builder& RouteTable::Builder::Add(RoutedService service) {
  std::string name = service.name;
  table_->services_.insert_or_assign(std::move(name), std::move(service));
  return *this;
}

RouteTable::Builder& RouteTable::Builder::RequireKeys() {
  table_->requires_keys_ = true;
  return *this;
}

RouteTable::Builder& RouteTable::Builder::Add(Organisation organisation) {
  table_->organisations_.push_back(std::move(organisation));
  return RequireKeys();
}

std::optional<Failure> RouteTable::Builder::IndexOrganisations() {
  const std::vector<Organisation>& organisations = table_->organisations_;
  for (size_t i = 0; i < organisations.size(); ++i) {
    const std::string& name = organisations[i].name;
    if (name.empty()) {
      return Failure{FailureKind::kMissingKey, "organisation",
                     "it has no name"};
    }
    if (!table_->by_name_.emplace(name, i).second) {
      return Failure{FailureKind::kDuplicate, "organisation " + name,
                     "another one has the name"};
    }
    for (const KeyDigest& key : organisations[i].keys) {
      const auto [entry, added] = table_->by_key_.emplace(key, i);
      if (!added && entry->second != i) {
        return Failure{FailureKind::kDuplicate, "organisation " + name,
                       "another one has the same key"};
      }
    }
  }
  return std::nullopt;
}

Result<RouteTablePtr> RouteTable::Builder::Build() {
  if (auto failure = IndexOrganisations()) {
    return *std::move(failure);
  }
  std::vector<Route>& routes = table_->routes_;
  for (size_t i = 0; i < routes.size(); ++i) {
    if (auto failure = Check(routes[i])) {
      return *std::move(failure);
    }
    table_->by_host_[NormalizeHost(routes[i].host)].push_back(i);
  }
  for (auto& [host, indices] : table_->by_host_) {
    std::stable_sort(indices.begin(), indices.end(), [&](size_t a, size_t b) {
      return routes[a].path_prefix.size() > routes[b].path_prefix.size();
    });
  }
  return RouteTablePtr(std::move(table_));
}

}  // namespace greengage
