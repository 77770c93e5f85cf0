#include "greengage/protocol/configuration_delta.h"

#include <xxhash.h>

#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace greengage {

namespace {

// A view of the lines of one section.
struct SectionView {
  std::string name;
  std::string_view lines;
};

struct SectionedText {
  std::string_view head;
  std::vector<SectionView> sections;
};

// Returns the name if `line` starts a section, by the rules of IniDocument.
std::optional<std::string> SectionName(std::string_view line) {
  std::string trimmed(line);
  boost::algorithm::trim(trimmed);
  if (trimmed.size() < 2 || trimmed.front() != '[' || trimmed.back() != ']') {
    return std::nullopt;
  }
  return boost::algorithm::trim_copy(trimmed.substr(1, trimmed.size() - 2));
}

SectionedText SplitSections(std::string_view text) {
  SectionedText result;
  size_t section_begin = 0;
  const auto end_section = [&](size_t end) {
    const std::string_view lines =
        text.substr(section_begin, end - section_begin);
    if (result.sections.empty()) {
      result.head = lines;
    } else {
      result.sections.back().lines = lines;
    }
    section_begin = end;
  };
  for (size_t begin = 0; begin < text.size();) {
    const size_t newline = text.find('\n', begin);
    const size_t end =
        newline == std::string_view::npos ? text.size() : newline + 1;
    if (auto name = SectionName(text.substr(begin, end - begin))) {
      end_section(begin);
      result.sections.push_back({*std::move(name), {}});
    }
    begin = end;
  }
  end_section(text.size());
  return result;
}

using SectionMap = std::unordered_map<std::string_view, std::string_view>;

// Returns nothing if a name occurs twice.
std::optional<SectionMap> IndexByName(const SectionedText& text) {
  SectionMap sections;
  for (const SectionView& section : text.sections) {
    if (!sections.emplace(section.name, section.lines).second) {
      return std::nullopt;
    }
  }
  return sections;
}

// Returns the section names of `text` that `other` contains too, in the order
// of `text`.
std::vector<std::string_view> CommonNames(const SectionedText& text,
                                          const SectionMap& other) {
  std::vector<std::string_view> names;
  for (const SectionView& section : text.sections) {
    if (other.contains(section.name)) {
      names.emplace_back(section.name);
    }
  }
  return names;
}

void AppendChanged(const SectionedText& now,
                   const SectionMap& before,
                   ConfigurationDelta& delta) {
  std::string_view previous;
  for (const SectionView& section : now.sections) {
    const auto old = before.find(section.name);
    const bool is_new = old == before.end();
    if (is_new || old->second != section.lines) {
      delta.changed.push_back({section.name, std::string(section.lines),
                               is_new ? std::string(previous) : ""});
    }
    previous = section.name;
  }
}

// Assembles the new text from the base and the sections of a delta.
class TextBuilder {
 public:
  explicit TextBuilder(const SectionMap& base) {
    for (const auto& [name, lines] : base) {
      lines_[name] = lines;
    }
  }

  void Change(const SectionText& section) {
    const bool is_new =
        lines_.insert_or_assign(section.name, section.text).second;
    if (is_new) {
      followers_[section.previous].push_back(section.name);
    }
  }

  void Remove(const std::string& name) { removed_.insert(name); }

  // Appends the section `first`, followed by the new sections that follow it
  // directly or indirectly. Uses an explicit stack rather than recursion, since
  // a chain of new sections may be long.
  void Append(std::string_view first, std::string& text) {
    std::vector<std::string_view> pending{first};
    while (!pending.empty()) {
      const std::string_view name = pending.back();
      pending.pop_back();
      if (!removed_.contains(name)) {
        text += lines_[name];
      }
      const auto found = followers_.find(name);
      if (found != followers_.end()) {
        pending.insert(pending.end(), found->second.rbegin(),
                       found->second.rend());
        followers_.erase(found);
      }
    }
  }

 private:
  std::unordered_map<std::string_view, std::string_view> lines_;
  std::unordered_map<std::string_view, std::vector<std::string_view>>
      followers_;
  std::unordered_set<std::string_view> removed_;
};

uint64_t HashOf(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

std::optional<ConfigurationDelta> MakeDelta(std::string_view base,
                                            std::string_view text) {
  const SectionedText before = SplitSections(base);
  const SectionedText now = SplitSections(text);
  const auto old_sections = IndexByName(before);
  const auto new_sections = IndexByName(now);
  if (!old_sections || !new_sections ||
      CommonNames(before, *new_sections) != CommonNames(now, *old_sections)) {
    return std::nullopt;
  }
  ConfigurationDelta delta;
  delta.head = now.head;
  delta.text_hash = HashOf(text);
  AppendChanged(now, *old_sections, delta);
  for (const SectionView& section : before.sections) {
    if (!new_sections->contains(section.name)) {
      delta.removed.push_back(section.name);
    }
  }
  return delta;
}

Result<std::string> ApplyDelta(std::string_view base,
                               const ConfigurationDelta& delta) {
  const SectionedText before = SplitSections(base);
  const auto sections = IndexByName(before);
  std::string text = delta.head;
  if (sections) {
    TextBuilder builder(*sections);
    for (const SectionText& section : delta.changed) {
      builder.Change(section);
    }
    for (const std::string& name : delta.removed) {
      builder.Remove(name);
    }
    builder.Append("", text);
    for (const SectionView& section : before.sections) {
      builder.Append(section.name, text);
    }
  }
  if (HashOf(text) != delta.text_hash) {
    return Failure{FailureKind::kMalformedMessage, "configuration",
                   "the delta does not match the current text"};
  }
  return text;
}

}  // namespace greengage
