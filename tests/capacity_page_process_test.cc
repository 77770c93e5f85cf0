// docs/CAPACITY.md contains the table that greengage-bench prints.
#include <fstream>
#include <sstream>
#include <string>

#include "tests/harness/program.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr char kDocs[] = GREENGAGE_SOURCE_DIR "/docs";
constexpr char kBegin[] = "<!-- greengage-bench capacity -->\n";
constexpr char kEnd[] = "<!-- end -->";

std::string ReadTableOfPage() {
  std::ifstream file(std::string(kDocs) + "/CAPACITY.md");
  std::stringstream text;
  text << file.rdbuf();
  const std::string page = text.str();
  const size_t begin = page.find(kBegin);
  const size_t end = page.find(kEnd, begin);
  cr_assert(begin != std::string::npos && end != std::string::npos);
  const size_t start = begin + sizeof kBegin - 1;
  return page.substr(start, end - start);
}

}  // namespace

Test(CapacityPage, ContainsTheTableOfTheBench) {
  const std::string folder = std::string(kDocs) + "/capacity/";
  Program bench("greengage-bench", {"capacity", "--fleet", folder + "fleet.csv",
                                    "--measured", folder + "measured.csv"});
  std::string table;
  cr_assert(bench.Wait(&table) == 0);
  cr_assert(table == ReadTableOfPage(), "%s", table.c_str());
}

Test(CapacityPage, ReportsAMissingValue) {
  const std::string empty = TemporaryFile("name,value\n");
  Program bench("greengage-bench",
                {"capacity", "--fleet", empty, "--measured", empty});
  cr_assert(bench.Wait() == 2);
}

}  // namespace greengage
