// Parses INI text into an ordered document of sections, keys and values.
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

// A parsed INI text. Sections and entries keep the order of the text. Section
// names are unique in the document, and keys are unique in their section.
// Lines that start with ';' or '#' are comments.
class IniDocument {
 public:
  // `file` is the name of the text in failures. Their subject is
  // "FILE [SECTION] KEY", and their detail starts with "line N". Reports all
  // malformed lines (kInvalidSyntax) and duplicate sections and keys
  // (kDuplicate) at once.
  static Validated<IniDocument> Parse(std::string_view text, std::string file);

  const std::string& file() const { return file_; }
  const std::vector<IniSection>& sections() const { return sections_; }

  // Returns null if there is no such section.
  const IniSection* Find(std::string_view name) const;

  // Returns the subject of failures about `section` and `key`.
  std::string Subject(std::string_view section,
                      std::string_view key = {}) const;

 private:
  friend class IniParser;

  std::string file_;
  std::vector<IniSection> sections_;
};

// Returns the text of `sections` in canonical form: one blank line between
// sections, one space on each side of '=', and no comments.
std::string ToString(const std::vector<IniSection>& sections);

}  // namespace greengage

#endif  // GREENGAGE_PROTOCOL_INI_DOCUMENT_H_
