#include "greengage/protocol/setting_value.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>
#include <string_view>

namespace greengage {

namespace {

constexpr size_t kMaxNameLength = 64;  // Characters.

Failure Invalid(const std::string& text, const std::string& rule) {
  return {FailureKind::kInvalidArgument,
          {},
          "got '" + text + "', expected " + rule};
}

bool IsNameCharacter(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '.' ||
         character == '_' || character == '-';
}

std::optional<uint64_t> ParseDigits(std::string_view text) {
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, status] = std::from_chars(text.data(), end, number);
  if (text.empty() || status != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

std::string NumberRule(uint64_t minimum, uint64_t maximum) {
  return std::to_string(minimum) + " to " + std::to_string(maximum);
}

Result<std::string> ParseName(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameLength ||
      !std::all_of(text.begin(), text.end(), IsNameCharacter)) {
    return Invalid(text, kNameRule);
  }
  return text;
}

std::string PrintDecimal(double value) {
  std::array<char, 32> text{};
  const auto end = std::to_chars(text.data(), text.data() + text.size(), value);
  return {text.data(), end.ptr};
}

std::string DecimalRule(double minimum, double maximum) {
  return PrintDecimal(minimum) + " to " + PrintDecimal(maximum);
}

Result<double> ParseDecimal(const std::string& text,
                            double minimum,
                            double maximum) {
  const std::string rule = "a decimal number, " + DecimalRule(minimum, maximum);
  double value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return Invalid(text, rule);
  }
  if (!(value >= minimum && value <= maximum)) {
    return Failure{FailureKind::kOutOfRange, {}, Invalid(text, rule).detail};
  }
  return value;
}

Result<uint64_t> ParseNumber(const std::string& text,
                             uint64_t minimum,
                             uint64_t maximum) {
  const std::string rule = "a whole number, " + NumberRule(minimum, maximum);
  const std::optional<uint64_t> number = ParseDigits(text);
  if (!number) {
    return Invalid(text, rule);
  }
  if (*number < minimum || *number > maximum) {
    return Failure{FailureKind::kOutOfRange, {}, Invalid(text, rule).detail};
  }
  return *number;
}

Result<std::vector<Endpoint>> ParseEndpoints(const std::string& text) {
  std::vector<Endpoint> endpoints;
  std::istringstream words(text);
  for (std::string word; words >> word;) {
    const Result<Endpoint> endpoint = ParseEndpoint(word);
    if (!endpoint) {
      return Invalid(word, kEndpointsRule);
    }
    if (std::find(endpoints.begin(), endpoints.end(), *endpoint) !=
        endpoints.end()) {
      return Failure{FailureKind::kDuplicate, {}, word + " occurs twice"};
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

Result<KeyRange> ParseKeyRange(const std::string& text) {
  const size_t dash = text.find('-');
  if (dash == std::string::npos) {
    return Invalid(text, kKeyRangeRule);
  }
  const std::string_view view = text;
  const std::optional<uint64_t> first = ParseDigits(view.substr(0, dash));
  const std::optional<uint64_t> last = ParseDigits(view.substr(dash + 1));
  if (!first || !last || *first > *last || *last == UINT64_MAX) {
    return Invalid(text, kKeyRangeRule);
  }
  return KeyRange{*first, *last + 1};
}

Result<std::map<std::string, std::string>> ParseNamePairs(
    const std::string& text) {
  std::map<std::string, std::string> pairs;
  std::istringstream words(text);
  for (std::string word; words >> word;) {
    const size_t colon = std::min(word.find(':'), word.size());
    const Result<std::string> first = ParseName(word.substr(0, colon));
    const Result<std::string> second =
        ParseName(word.substr(std::min(colon + 1, word.size())));
    if (!first || !second) {
      return Invalid(word, kNamePairsRule);
    }
    if (!pairs.emplace(*first, *second).second) {
      return Failure{FailureKind::kDuplicate, {}, *first + " occurs twice"};
    }
  }
  return pairs;
}

std::string PrintNamePairs(const std::map<std::string, std::string>& pairs) {
  std::string text;
  for (const auto& [first, second] : pairs) {
    text += text.empty() ? "" : " ";
    text += first;
    text += ':';
    text += second;
  }
  return text;
}

std::string PrintEndpoints(const std::vector<Endpoint>& endpoints) {
  std::string text;
  for (const Endpoint& endpoint : endpoints) {
    text += (text.empty() ? "" : " ") + ToString(endpoint);
  }
  return text;
}

Failure InvalidChoice(const std::string& value, const std::string& allowed) {
  return Invalid(value, "one of " + allowed);
}

bool HasKey(const IniSection& section, const std::string& key) {
  return std::any_of(section.entries.begin(), section.entries.end(),
                     [&](const IniEntry& entry) { return entry.key == key; });
}

}  // namespace greengage
