#include "greengage/coordination/caller_access.h"

#include <boost/algorithm/string/predicate.hpp>

#include "greengage/state/request_terms.h"

namespace greengage {
namespace {

// Returns the key of "SCHEME KEY". The name of a scheme has no case.
std::optional<std::string_view> KeyOf(std::string_view authorization,
                                      std::string_view scheme) {
  const size_t space = authorization.find(' ');
  if (space == std::string_view::npos ||
      !boost::iequals(authorization.substr(0, space), scheme)) {
    return std::nullopt;
  }
  const size_t first = authorization.find_first_not_of(' ', space);
  if (first == std::string_view::npos) {
    return std::nullopt;
  }
  return authorization.substr(first,
                              authorization.find_last_not_of(' ') + 1 - first);
}

}  // namespace

std::string_view AccessVerdictName(AccessVerdict verdict) {
  switch (verdict) {
    case AccessVerdict::kAllowed:
      return "allowed";
    case AccessVerdict::kNoKey:
      return "no_key";
    case AccessVerdict::kUnknownKey:
      return "unknown_key";
    case AccessVerdict::kNoRegion:
      return "no_region";
  }
  return "unknown";
}

std::optional<KeyDigest> KeyOfCaller(
    std::string_view scheme,
    const std::optional<std::string>& authorization) {
  const auto key = authorization ? KeyOf(*authorization, scheme) : std::nullopt;
  return key ? std::optional(DigestOfKey(*key)) : std::nullopt;
}

CallerAccess DecideAccess(const RouteTable& table,
                          const Route& route,
                          const std::optional<KeyDigest>& key) {
  CallerAccess access;
  if (table.requires_keys()) {
    access.organisation = key ? table.FindOrganisation(*key) : nullptr;
    if (access.organisation == nullptr && !route.is_public) {
      access.verdict = key ? AccessVerdict::kUnknownKey : AccessVerdict::kNoKey;
      return access;
    }
  }
  const RequestTerms terms = TermsOf(route, access.organisation);
  if (terms.is_restricted && terms.allowed_regions.empty()) {
    access.verdict = AccessVerdict::kNoRegion;
  }
  return access;
}

}  // namespace greengage
