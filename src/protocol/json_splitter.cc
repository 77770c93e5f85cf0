#include "protocol/json_splitter.h"

#include <algorithm>
#include <cstddef>

namespace greengage {
namespace {

constexpr std::string_view kSpace = " \t\r\n";

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(kSpace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kSpace) - first + 1);
}

// Removes brackets around `text`, or returns nothing if there are none.
std::optional<std::string_view> Unwrap(std::string_view text,
                                       char open,
                                       char close) {
  const std::string_view trimmed = Trim(text);
  if (trimmed.size() < 2 || trimmed.front() != open ||
      trimmed.back() != close) {
    return std::nullopt;
  }
  return trimmed.substr(1, trimmed.size() - 2);
}

// Returns the position of the quote that ends the string which begins at
// `start`, or the end of the text.
size_t EndOfString(std::string_view text, size_t start) {
  size_t at = start + 1;
  while (at < text.size() && text[at] != '"') {
    at += text[at] == '\\' ? 2 : 1;
  }
  return std::min(at, text.size());
}

// Returns the position of the first `separator` outside of strings and
// brackets, or the end of the text. Returns nothing if a string or bracket does
// not end within the text.
std::optional<size_t> FindSeparator(std::string_view text, char separator) {
  size_t depth = 0;
  for (size_t at = 0; at < text.size(); ++at) {
    const char c = text[at];
    if (c == '"') {
      at = EndOfString(text, at);
      if (at == text.size()) {
        return std::nullopt;
      }
    } else if (c == '{' || c == '[') {
      ++depth;
    } else if (c == '}' || c == ']') {
      if (depth == 0) {
        return std::nullopt;
      }
      --depth;
    } else if (c == separator && depth == 0) {
      return at;
    }
  }
  return depth == 0 ? std::optional(text.size()) : std::nullopt;
}

}  // namespace

std::optional<std::vector<std::string_view>> SplitArray(std::string_view text) {
  std::optional<std::string_view> rest = Unwrap(text, '[', ']');
  if (!rest) {
    return std::nullopt;
  }
  std::vector<std::string_view> elements;
  if (Trim(*rest).empty()) {
    return elements;
  }
  while (true) {
    const std::optional<size_t> end = FindSeparator(*rest, ',');
    if (!end) {
      return std::nullopt;
    }
    elements.push_back(Trim(rest->substr(0, *end)));
    if (*end == rest->size()) {
      return elements;
    }
    rest->remove_prefix(*end + 1);
  }
}

std::optional<std::vector<JsonMember>> SplitObject(std::string_view text) {
  std::optional<std::string_view> rest = Unwrap(text, '{', '}');
  if (!rest) {
    return std::nullopt;
  }
  std::vector<JsonMember> members;
  while (!Trim(*rest).empty()) {
    const std::optional<size_t> end = FindSeparator(*rest, ',');
    if (!end) {
      return std::nullopt;
    }
    const std::string_view member = rest->substr(0, *end);
    const std::optional<size_t> colon = FindSeparator(member, ':');
    if (!colon || *colon == member.size()) {
      return std::nullopt;
    }
    members.emplace_back(Trim(member.substr(0, *colon)),
                         Trim(member.substr(*colon + 1)));
    rest->remove_prefix(std::min(*end + 1, rest->size()));
  }
  return members;
}

std::string_view FindMember(const std::vector<JsonMember>& members,
                            std::string_view name) {
  std::string_view value;
  for (const auto& [quoted, text] : members) {
    if (quoted.size() == name.size() + 2 &&
        quoted.substr(1, name.size()) == name) {
      value = text;
    }
  }
  return value;
}

}  // namespace greengage
