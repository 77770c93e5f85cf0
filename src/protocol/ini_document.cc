#include "greengage/protocol/ini_document.h"

#include <boost/algorithm/string/trim.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <map>
#include <optional>
#include <sstream>
#include <unordered_map>
#include <utility>

namespace greengage {

// Passes one line at a time to Boost's INI reader, which would otherwise stop
// at the first error, drop empty sections and lose line numbers. Section lines
// are parsed here, because that reader ends a section name at the first ']',
// which IPv6 end points contain.
class IniParser {
 public:
  explicit IniParser(std::string file) { document_.file_ = std::move(file); }

  Validated<IniDocument> Run(std::string_view text) {
    std::istringstream lines{std::string(text)};
    for (std::string line; std::getline(lines, line);) {
      ++line_;
      boost::algorithm::trim(line);
      ReadLine(line);
    }
    if (!failures_.empty()) {
      return std::move(failures_);
    }
    return std::move(document_);
  }

 private:
  void ReadLine(const std::string& line) {
    if (line.find('\0') != std::string::npos) {
      Fail(FailureKind::kInvalidSyntax, {}, "the line contains a zero byte");
    } else if (line.starts_with('[')) {
      ReadSection(line);
    } else {
      ReadEntry(line);
    }
  }

  void ReadSection(const std::string& line) {
    keys_.clear();
    IniSection section;
    section.line = line_;
    if (line.size() > 2 && line.ends_with(']')) {
      section.name =
          boost::algorithm::trim_copy(line.substr(1, line.size() - 2));
    }
    if (section.name.empty()) {
      Fail(FailureKind::kInvalidSyntax, {}, "expected [NAME], got " + line);
    }
    const auto [first, inserted] =
        section_lines_.emplace(section.name, section.line);
    document_.sections_.push_back(std::move(section));
    if (!inserted && !first->first.empty()) {
      Fail(FailureKind::kDuplicate, {},
           "the section is already defined in line " +
               std::to_string(first->second));
    }
  }

  void ReadEntry(const std::string& line) {
    const std::optional<IniEntry> entry = ParseEntry(line);
    if (!entry) {
      return;
    }
    if (document_.sections_.empty()) {
      Fail(FailureKind::kInvalidSyntax, entry->key,
           "the key is before the first [SECTION]");
      return;
    }
    const auto [first, inserted] = keys_.emplace(entry->key, line_);
    if (!inserted) {
      Fail(FailureKind::kDuplicate, entry->key,
           "the key is already defined in line " +
               std::to_string(first->second));
      return;
    }
    document_.sections_.back().entries.push_back(*entry);
  }

  // Returns nothing for comments, blank lines and malformed lines.
  std::optional<IniEntry> ParseEntry(const std::string& line) {
    stream_.clear();
    stream_.str(line);
    boost::property_tree::ptree tree;
    try {
      boost::property_tree::read_ini(stream_, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
      Fail(FailureKind::kInvalidSyntax, {},
           "expected KEY = VALUE (" + error.message() + "), got " + line);
      return std::nullopt;
    }
    if (tree.empty()) {
      return std::nullopt;
    }
    return IniEntry{tree.front().first, tree.front().second.data(), line_};
  }

  void Fail(FailureKind kind, std::string_view key, const std::string& detail) {
    const std::string section =
        document_.sections_.empty() ? "" : document_.sections_.back().name;
    failures_.push_back({kind, document_.Subject(section, key),
                         "line " + std::to_string(line_) + ": " + detail});
  }

  IniDocument document_;
  std::vector<Failure> failures_;
  size_t line_ = 0;
  std::istringstream stream_;
  std::unordered_map<std::string, size_t> section_lines_;
  // Line number of each key in the current section.
  std::map<std::string, size_t> keys_;
};

Validated<IniDocument> IniDocument::Parse(std::string_view text,
                                          std::string file) {
  return IniParser(std::move(file)).Run(text);
}

const IniSection* IniDocument::Find(std::string_view name) const {
  for (const IniSection& section : sections_) {
    if (section.name == name) {
      return &section;
    }
  }
  return nullptr;
}

std::string IniDocument::Subject(std::string_view section,
                                 std::string_view key) const {
  std::string subject = file_;
  if (!section.empty()) {
    subject += " [" + std::string(section) + "]";
  }
  if (!key.empty()) {
    subject += " " + std::string(key);
  }
  return subject;
}

std::string ToString(const std::vector<IniSection>& sections) {
  std::string text;
  for (const IniSection& section : sections) {
    text += text.empty() ? "" : "\n";
    text += "[" + section.name + "]\n";
    for (const IniEntry& entry : section.entries) {
      text += entry.key + " = " + entry.value + "\n";
    }
  }
  return text;
}

}  // namespace greengage
