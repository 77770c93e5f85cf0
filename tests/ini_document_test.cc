#include "greengage/protocol/ini_document.h"

#include <criterion/criterion.h>

namespace greengage {

Test(IniDocument, KeepsOrderAndLineNumbers) {
  const auto document = IniDocument::Parse(
      "; attempt 12\n\n[b]\n y = 1 \nx=a = b\n[empty]\n[searcher [::1]:80]\n",
      "f.ini");
  cr_assert(document.ok());
  cr_assert(document->sections().size() == 3);
  const IniSection& section = document->sections().front();
  cr_assert(section.name == "b" && section.line == 3);
  cr_assert(section.entries.size() == 2);
  cr_assert(section.entries.front().key == "y");
  cr_assert(section.entries.front().value == "1");
  cr_assert(section.entries.back().value == "a = b");
  cr_assert(section.entries.back().line == 5);
  cr_assert(document->Find("searcher [::1]:80") != nullptr);
  cr_assert(document->Find("c") == nullptr);
}

Test(IniDocument, ReportsEveryMalformedLine) {
  const auto document = IniDocument::Parse(
      "early = 1\n[a]\nno value\n= 3\nk = 1\nk = 2\n[a]\n[open\n[]\n", "f.ini");
  cr_assert(!document.ok());
  const std::vector<Failure>& failures = document.failures();
  cr_assert(failures.size() == 7, "%zu failures", failures.size());
  cr_assert(failures[0].subject == "f.ini early");
  cr_assert(failures[1].kind == FailureKind::kInvalidSyntax);
  cr_assert(failures[1].subject == "f.ini [a]");
  cr_assert(failures[1].detail.starts_with("line 3: "));
  cr_assert(failures[3].kind == FailureKind::kDuplicate);
  cr_assert(failures[3].subject == "f.ini [a] k");
  cr_assert(failures[3].detail ==
            "line 6: the key is already defined in line 5");
  cr_assert(failures[4].kind == FailureKind::kDuplicate);
  cr_assert(failures[4].detail.starts_with("line 7: "));
  cr_assert(failures[6].detail.starts_with("line 9: "));
}

}  // namespace greengage
