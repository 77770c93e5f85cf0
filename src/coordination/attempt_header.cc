#include "greengage/coordination/attempt_header.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace greengage {

namespace {

constexpr std::string_view kPrefix = "; attempt ";
constexpr std::string_view kSeparator = " replaced ";

std::string_view FirstLine(std::string_view text) {
  return text.substr(0, text.find('\n'));
}

std::string_view AfterFirstLine(std::string_view text) {
  const size_t end = text.find('\n');
  return end == std::string_view::npos ? std::string_view()
                                       : text.substr(end + 1);
}

std::optional<Attempt> ParseAttempt(std::string_view line) {
  const size_t separator = line.find(kSeparator);
  if (!line.starts_with(kPrefix) || separator == std::string_view::npos) {
    return std::nullopt;
  }
  Attempt attempt;
  attempt.token = line.substr(kPrefix.size(), separator - kPrefix.size());
  const std::string_view digits = line.substr(separator + kSeparator.size());
  const auto [end, status] = std::from_chars(
      digits.data(), digits.data() + digits.size(), attempt.replaced);
  const bool all_digits = end == digits.data() + digits.size();
  return status == std::errc() && all_digits ? std::optional(attempt)
                                             : std::nullopt;
}

}  // namespace

std::vector<Attempt> ParseAttempts(std::string_view text) {
  std::vector<Attempt> attempts;
  while (const auto attempt = ParseAttempt(FirstLine(text))) {
    attempts.push_back(*attempt);
    text = AfterFirstLine(text);
  }
  return attempts;
}

std::string_view StripAttempts(std::string_view text) {
  while (ParseAttempt(FirstLine(text))) {
    text = AfterFirstLine(text);
  }
  return text;
}

std::string PrependAttempts(const std::vector<Attempt>& attempts,
                            std::string_view text) {
  std::string result;
  const size_t kept = std::min(attempts.size(), kMaxAttemptsKept);
  for (size_t index = 0; index < kept; ++index) {
    result += kPrefix;
    result += attempts[index].token;
    result += kSeparator;
    result += std::to_string(attempts[index].replaced);
    result += '\n';
  }
  return result.append(text);
}

}  // namespace greengage
