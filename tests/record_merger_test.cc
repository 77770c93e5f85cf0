#include "greengage/coordination/record_merger.h"

#include <random>
#include <string>
#include <vector>

#include "tests/harness/naive_records.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

std::string RandomPart(std::minstd_rand& random) {
  // Use few byte values, so that equal records occur, and some above 127.
  std::uniform_int_distribution<int> byte(0, 3);
  std::uniform_int_distribution<size_t> size(0, 200);
  std::string part(size(random), '\0');
  for (char& value : part) {
    value = static_cast<char>(byte(random) * 80);
  }
  return part;
}

}  // namespace

Test(RecordMerger, MatchesSortingAllRecords) {
  std::minstd_rand random(1);
  for (int round = 0; round < 500; ++round) {
    const size_t top = random() % 20;
    RecordMerger merger(top);
    std::vector<std::string> parts;
    for (size_t i = random() % 8; i > 0; --i) {
      parts.push_back(RandomPart(random));
      merger.Add(parts.back());
    }
    cr_assert(merger.Take() == NaiveTop(parts, top), "round %d", round);
  }
}

}  // namespace greengage
