#include "greengage/protocol/leaving_codec.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "greengage/state/endpoint.h"

namespace greengage {
namespace {

constexpr char kLeavingSearcherHeader[] = "Greengage-Leaving-Searcher";

bool IsWord(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c <= '~';
  });
}

// Removes the first word and the space after it from `text`.
std::string_view TakeWord(std::string_view& text) {
  const std::string_view word = text.substr(0, text.find(' '));
  text.remove_prefix(std::min(text.size(), word.size() + 1));
  return word;
}

std::optional<SearcherEntry> ParseLeavingSearcher(std::string_view text) {
  const std::string_view started = TakeWord(text);
  const std::string_view endpoint = TakeWord(text);
  const std::string_view service = TakeWord(text);
  const std::string_view id = text;
  int64_t started_ms = 0;
  const auto parsed = std::from_chars(
      started.data(), started.data() + started.size(), started_ms);
  Result<Endpoint> address = ParseEndpoint(endpoint);
  if (parsed.ec != std::errc() ||
      parsed.ptr != started.data() + started.size() || !address ||
      !IsWord(service) || !IsWord(id)) {
    return std::nullopt;
  }
  SearcherEntry entry;
  entry.id = id;
  entry.service = service;
  entry.endpoint = *std::move(address);
  entry.started = std::chrono::milliseconds(started_ms);
  entry.draining = true;
  return entry;
}

}  // namespace

void SetLeavingSearchers(const std::vector<SearcherEntry>& leaving,
                         HeaderList& headers) {
  std::erase_if(headers, [](const auto& header) {
    return IsSameHeader(header.first, kLeavingSearcherHeader);
  });
  for (const SearcherEntry& entry : leaving) {
    if (IsWord(entry.id) && IsWord(entry.service)) {
      headers.emplace_back(kLeavingSearcherHeader,
                           std::to_string(entry.started.count()) + ' ' +
                               ToString(entry.endpoint) + ' ' + entry.service +
                               ' ' + entry.id);
    }
  }
}

std::vector<SearcherEntry> TakeLeavingSearchers(HeaderList& headers) {
  std::vector<SearcherEntry> leaving;
  std::erase_if(headers, [&leaving](const auto& header) {
    if (!IsSameHeader(header.first, kLeavingSearcherHeader)) {
      return false;
    }
    if (auto entry = ParseLeavingSearcher(header.second)) {
      leaving.push_back(*std::move(entry));
    }
    return true;
  });
  return leaving;
}

}  // namespace greengage
