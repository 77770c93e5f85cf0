#include "greengage/protocol/ini_difference.h"

#include <map>
#include <string_view>
#include <utility>

namespace greengage {

namespace {

// Entries by section and key.
using EntryMap =
    std::map<std::pair<std::string_view, std::string_view>, const std::string*>;

EntryMap Entries(const IniDocument& document) {
  EntryMap entries;
  for (const IniSection& section : document.sections()) {
    for (const IniEntry& entry : section.entries) {
      entries[{section.name, entry.key}] = &entry.value;
    }
  }
  return entries;
}

std::optional<std::string> ValueIn(const EntryMap& entries,
                                   const IniSection& section,
                                   const IniEntry& entry) {
  const auto found = entries.find({section.name, entry.key});
  return found == entries.end() ? std::nullopt : std::optional(*found->second);
}

}  // namespace

std::vector<IniDifference> Compare(const IniDocument& before,
                                   const IniDocument& after) {
  const EntryMap old_entries = Entries(before);
  const EntryMap new_entries = Entries(after);
  std::vector<IniDifference> differences;
  for (const IniSection& section : before.sections()) {
    for (const IniEntry& entry : section.entries) {
      const auto value = ValueIn(new_entries, section, entry);
      if (value != entry.value) {
        differences.push_back({section.name, entry.key, entry.value, value});
      }
    }
  }
  for (const IniSection& section : after.sections()) {
    for (const IniEntry& entry : section.entries) {
      if (!old_entries.contains({section.name, entry.key})) {
        differences.push_back(
            {section.name, entry.key, std::nullopt, entry.value});
      }
    }
  }
  return differences;
}

}  // namespace greengage
