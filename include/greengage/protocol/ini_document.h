// An INI text as an ordered document of sections, keys and values.
#ifndef GREENGAGE_PROTOCOL_INI_DOCUMENT_H_
#define GREENGAGE_PROTOCOL_INI_DOCUMENT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "greengage/protocol/validated.h"

namespace greengage {

// One "key = value" line. Line numbers start at 1.
struct IniEntry {
  std::string key;
  std::string value;
  size_t line = 0;
};

// One "[name]" line with the entries below it.
struct IniSection {
  std::string name;
  size_t line = 0;
  std::vector<IniEntry> entries;
};

// A parsed text. Sections and entries keep the order of the text; section
// names are unique, and so are the keys of one section. Comments are lines
// that start with ';' or '#'.
class IniDocument {
 public:
  // Reads `text`. `file` names it in failures, whose subject is
  // "FILE [SECTION] KEY" and whose detail starts with "line N". Reports every
  // malformed line (kInvalidSyntax) and repetition (kDuplicate) at once.
  static Validated<IniDocument> Parse(std::string_view text, std::string file);

  const std::string& file() const { return file_; }
  const std::vector<IniSection>& sections() const { return sections_; }

  // The section of that name, or null.
  const IniSection* Find(std::string_view name) const;

  // What failures about `section` and `key` have as subject.
  std::string Subject(std::string_view section,
                      std::string_view key = {}) const;

 private:
  friend class IniParser;

  std::string file_;
  std::vector<IniSection> sections_;
};

// The text of `sections` in canonical form: one blank line between sections,
// one space on each side of '='. Comments are not kept.
std::string ToString(const std::vector<IniSection>& sections);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_INI_DOCUMENT_H_
