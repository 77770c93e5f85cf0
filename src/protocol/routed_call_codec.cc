#include "greengage/protocol/routed_call_codec.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cmath>
#include <optional>
#include <utility>

namespace greengage {
namespace {

constexpr unsigned kMisdirectedStatus = 421;
// A list of signatures that is longer is spread over several headers. Readers
// limit the length of one, and Beast throws beyond 64 KiB.
constexpr size_t kMaxListBytes = size_t{8} * 1024;

constexpr unsigned kUnavailableStatus = 503;

// Longest time for which a searcher may want no requests. A longer one is more
// likely an error, and the searcher would be out of use until it restarts.
constexpr std::chrono::duration<double> kMaxClosedTime{3600};

constexpr char kAuthorizationHeader[] = "authorization";

constexpr std::string_view kLeavingValue = "1";

// Figures of a load report: running, waiting, slots. The work time may follow.
constexpr size_t kLoadFigures = 3;

// Bounds of a reported work time, relative to the usual one. A figure beyond
// them is more likely an error, and would put a searcher out of use.
constexpr double kMinWorkTime = 0.1;
constexpr double kMaxWorkTime = 20;

// Hop-by-hop headers, and Content-Length, which the transport sets for the next
// hop.
constexpr std::array<std::string_view, 10> kHopByHopHeaders{
    "connection",         "content-length",   "expect", "keep-alive",
    "proxy-authenticate", "proxy-connection", "te",     "trailer",
    "transfer-encoding",  "upgrade"};

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Splits a comma-separated list.
std::vector<std::string_view> Split(std::string_view list) {
  std::vector<std::string_view> parts;
  while (true) {
    const size_t comma = list.find(',');
    parts.push_back(Trim(list.substr(0, comma)));
    if (comma == std::string_view::npos) {
      return parts;
    }
    list.remove_prefix(comma + 1);
  }
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || parsed.ec != std::errc() ||
      parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

// Returns whether the header is meant for the last receiver, whatever
// "Connection" lists.
bool IsEndToEnd(const CallDialect& dialect, std::string_view name) {
  const std::array<std::string_view, 13> names{"host",
                                               "authorization",
                                               "content-type",
                                               "content-encoding",
                                               dialect.request_id,
                                               dialect.time_left,
                                               dialect.expected_searcher,
                                               dialect.signature,
                                               dialect.load,
                                               dialect.request_limit,
                                               dialect.leaving,
                                               dialect.not_run,
                                               dialect.part_signatures};
  return std::any_of(names.begin(), names.end(), [name](auto end_to_end) {
    return IsSameHeader(name, end_to_end);
  });
}

// Returns the names of the hop-by-hop headers that "Connection" lists.
std::vector<std::string> ConnectionOptions(const CallDialect& dialect,
                                           const HeaderList& headers) {
  std::vector<std::string> names;
  for (const auto& [key, value] : headers) {
    if (IsSameHeader(key, "connection")) {
      for (const std::string_view name : Split(value)) {
        if (!IsEndToEnd(dialect, name)) {
          names.emplace_back(name);
        }
      }
    }
  }
  return names;
}

HeaderList StripHopByHopHeaders(const CallDialect& dialect,
                                const HeaderList& headers) {
  const std::vector<std::string> options = ConnectionOptions(dialect, headers);
  HeaderList kept;
  kept.reserve(headers.size());
  for (const auto& header : headers) {
    const auto is_same = [&header](std::string_view name) {
      return IsSameHeader(name, header.first);
    };
    if (std::none_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                     is_same) &&
        std::none_of(options.begin(), options.end(), is_same)) {
      kept.push_back(header);
    }
  }
  return kept;
}

// Returns nothing for a text that is not a positive percentage, and bounds it.
std::optional<double> ReadWorkTime(std::string_view text) {
  const auto percent = ParseNumber<double>(text);
  if (!percent || !std::isfinite(*percent) || *percent <= 0) {
    return std::nullopt;
  }
  return std::clamp(*percent / 100, kMinWorkTime, kMaxWorkTime);
}

std::optional<ReportedLoad> ReadLoad(const CallDialect& dialect,
                                     const HeaderList& headers) {
  const auto header = FindHeader(headers, dialect.load);
  const auto parts = header ? Split(*header) : std::vector<std::string_view>();
  if (parts.size() != kLoadFigures && parts.size() != kLoadFigures + 1) {
    return std::nullopt;
  }
  const auto running = ParseNumber<uint32_t>(parts[0]);
  const auto waiting = ParseNumber<uint32_t>(parts[1]);
  const auto slots = ParseNumber<uint32_t>(parts[2]);
  if (!running || !waiting || !slots) {
    return std::nullopt;
  }
  ReportedLoad load{*running, *waiting, *slots, std::nullopt};
  if (parts.size() > kLoadFigures) {
    load.work_time = ReadWorkTime(parts[kLoadFigures]);
  }
  return load;
}

// Returns nothing for a header that is not a number of requests per second.
std::optional<double> ReadRequestLimit(const CallDialect& dialect,
                                       const HeaderList& headers) {
  const auto header = FindHeader(headers, dialect.request_limit);
  const auto limit = header ? ParseNumber<double>(Trim(*header)) : std::nullopt;
  return limit && std::isfinite(*limit) && *limit >= 0 ? limit : std::nullopt;
}

// Returns nothing for a header that is not a number of seconds, of which there
// may be fractions, and bounds it.
std::optional<std::chrono::milliseconds> ReadRetryAfter(
    const HeaderList& headers) {
  const auto header = FindHeader(headers, "Retry-After");
  const auto number =
      header ? ParseNumber<double>(Trim(*header)) : std::nullopt;
  if (!number || std::isnan(*number) || *number <= 0) {
    return std::nullopt;
  }
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::duration<double>(std::min(*number, kMaxClosedTime.count())));
}

bool IsSuccess(unsigned status) {
  return status >= 200 && status < 300;
}

}  // namespace

Result<CallerRequest> ParseCallerRequest(const CallDialect& dialect,
                                         const HeaderList& headers) {
  const auto id = FindHeader(headers, dialect.request_id);
  const auto host = FindHeader(headers, "host");
  if (!id || id->empty() || !host) {
    return Failure{FailureKind::kMissingKey,
                   id && !id->empty() ? "Host" : dialect.request_id,
                   "the header is required"};
  }
  const auto is_id = [&dialect](const auto& header) {
    return IsSameHeader(header.first, dialect.request_id);
  };
  if (std::count_if(headers.begin(), headers.end(), is_id) > 1) {
    return Failure{FailureKind::kInvalidSyntax, dialect.request_id,
                   "a request has one id"};
  }
  CallerRequest request;
  request.id = *id;
  request.host = *host;
  const auto is_authorization = [](const auto& header) {
    return IsSameHeader(header.first, kAuthorizationHeader);
  };
  request.credentials = FindHeader(headers, kAuthorizationHeader);
  request.has_ambiguous_credentials =
      std::count_if(headers.begin(), headers.end(), is_authorization) > 1;
  if (const auto time_left = FindHeader(headers, dialect.time_left)) {
    const auto milliseconds = ParseNumber<uint32_t>(Trim(*time_left));
    if (!milliseconds) {
      return Failure{FailureKind::kInvalidSyntax, dialect.time_left,
                     "want a whole number of milliseconds"};
    }
    request.time_left = std::chrono::milliseconds(*milliseconds);
  }
  return request;
}

RequestDigest DigestOf(const CallerRequest& caller,
                       std::string_view method,
                       std::string_view target,
                       std::string_view body) {
  // Each field follows its length, so that different fields never look alike.
  std::string fields;
  const std::string sender = caller.organisation.empty()
                                 ? caller.credentials.value_or("")
                                 : caller.organisation;
  const std::array<std::string_view, 5> parts{method, caller.host, target,
                                              sender, body};
  for (const std::string_view field : parts) {
    fields += std::to_string(field.size()) + ":";
    fields += field;
  }
  const XXH128_hash_t hash = XXH3_128bits(fields.data(), fields.size());
  return {hash.high64, hash.low64};
}

HeaderList ForwardedHeaders(const CallDialect& dialect,
                            const HeaderList& headers) {
  HeaderList kept = StripHopByHopHeaders(dialect, headers);
  std::erase_if(kept, [&dialect](const auto& header) {
    return IsSameHeader(header.first, dialect.time_left) ||
           IsSameHeader(header.first, dialect.expected_searcher);
  });
  return kept;
}

void SetOrganisation(const CallDialect& dialect,
                     const std::string& organisation,
                     HeaderList& headers) {
  std::erase_if(headers, [&dialect](const auto& header) {
    return IsSameHeader(header.first, kAuthorizationHeader) ||
           IsSameHeader(header.first, dialect.organisation);
  });
  if (!organisation.empty()) {
    headers.emplace_back(dialect.organisation, organisation);
  }
}

HeaderList AttemptHeaders(const CallDialect& dialect,
                          const HeaderList& forwarded,
                          std::chrono::milliseconds time_left,
                          const std::string& searcher_id) {
  HeaderList headers;
  headers.reserve(forwarded.size() + 2);
  headers = forwarded;
  headers.emplace_back(dialect.time_left, std::to_string(time_left.count()));
  headers.emplace_back(dialect.expected_searcher, searcher_id);
  return headers;
}

void SetTimeLeft(const CallDialect& dialect,
                 std::chrono::milliseconds time_left,
                 HeaderList& headers) {
  std::erase_if(headers, [&dialect](const auto& header) {
    return IsSameHeader(header.first, dialect.time_left);
  });
  headers.emplace_back(dialect.time_left, std::to_string(time_left.count()));
}

bool NamesRequest(const CallDialect& dialect, const HeaderList& headers) {
  return FindHeader(headers, dialect.request_id).has_value();
}

bool IsMismatchedAnswer(const CallDialect& dialect,
                        const HeaderList& headers,
                        std::string_view request_id) {
  const auto echoed = FindHeader(headers, dialect.request_id);
  return echoed && *echoed != request_id;
}

AttemptOutcome ParseSearcherAnswer(const CallDialect& dialect,
                                   unsigned status,
                                   const HeaderList& headers,
                                   std::string body) {
  AttemptOutcome outcome;
  outcome.load = ReadLoad(dialect, headers);
  outcome.request_limit = ReadRequestLimit(dialect, headers);
  outcome.leaving =
      Trim(FindHeader(headers, dialect.leaving).value_or("")) == kLeavingValue;
  if (status == kUnavailableStatus) {
    outcome.closed_for = ReadRetryAfter(headers);
  }
  if (status == kMisdirectedStatus) {
    outcome.end = AttemptEnd::kMisdirected;
    outcome.leaving = false;  // Another searcher says so.
    outcome.detail = "another searcher has the address";
    return outcome;
  }
  if (FindHeader(headers, dialect.not_run)) {
    outcome.end = AttemptEnd::kRejected;
    outcome.detail = "turned away with " + std::to_string(status);
    return outcome;
  }
  const auto signature = FindHeader(headers, dialect.signature);
  if (IsSuccess(status) &&
      (!signature || FindHeader(headers, "content-encoding").has_value())) {
    outcome.detail = signature ? "the body is encoded" : "no signature";
    return outcome;
  }
  outcome.end = IsSuccess(status) ? AttemptEnd::kAnswered : AttemptEnd::kFailed;
  outcome.detail = std::to_string(status);
  outcome.answer.status = status;
  outcome.answer.signature = signature.value_or("");
  outcome.answer.headers = StripHopByHopHeaders(dialect, headers);
  outcome.answer.body = std::move(body);
  return outcome;
}

HeaderList PartHeaders(const CallDialect& dialect,
                       const std::vector<SearcherAnswer>& parts,
                       size_t missing_parts) {
  std::string signatures;
  HeaderList headers;
  for (const SearcherAnswer& part : parts) {
    if (!signatures.empty() &&
        signatures.size() + part.signature.size() > kMaxListBytes) {
      headers.emplace_back(dialect.part_signatures,
                           std::exchange(signatures, {}));
    }
    signatures += signatures.empty() ? "" : ", ";
    signatures += part.signature;
  }
  headers.emplace_back(dialect.part_signatures, std::move(signatures));
  headers.emplace_back(dialect.missing_parts, std::to_string(missing_parts));
  return headers;
}

}  // namespace greengage
