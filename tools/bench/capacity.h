// The capacity table: what each role needs at a given size of the fleet,
// worked out from measured figures.
#ifndef TOOLS_BENCH_CAPACITY_H_
#define TOOLS_BENCH_CAPACITY_H_

#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "greengage/state/result.h"

namespace greengage::bench {

// Values by name, as read from a CSV file whose first two columns are "name"
// and "value".
using Figures = std::map<std::string, double>;

// Fails with kUnreadableFile, kInvalidSyntax (a value is not a number) or
// kDuplicate.
Result<Figures> ReadFigures(const std::string& path);

// One line of the table. A row with a limit fits if `value` is at most that.
struct CapacityRow {
  std::string role;
  std::string quantity;
  double value = 0;
  std::string unit;
  double limit = 0;  // 0: none is stated.
  std::string mechanism;

  bool fits() const { return limit == 0 || value <= limit; }
};

// Fails with kMissingKey where a figure is absent.
Result<std::vector<CapacityRow>> ComputeCapacity(const Figures& fleet,
                                                 const Figures& measured);

// Writes the table as Markdown, what does not fit first.
void PrintCapacity(std::ostream& out, const std::vector<CapacityRow>& rows);

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_CAPACITY_H_
