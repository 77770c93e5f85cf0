// Computes the capacity table: the resources that each role needs at a given
// fleet size, derived from measured figures.
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

// One row of the table. A row fits if it has no limit or if `value` does not
// exceed the limit.
struct CapacityRow {
  std::string role;
  std::string quantity;
  double value = 0;
  std::string unit;
  double limit = 0;  // 0: no limit.
  std::string mechanism;

  bool fits() const { return limit == 0 || value <= limit; }
};

// Fails with kMissingKey if a figure is in neither file.
Result<std::vector<CapacityRow>> ComputeCapacity(const Figures& fleet,
                                                 const Figures& measured);

// Writes the table as Markdown. Rows that exceed their limit come first.
void PrintCapacity(std::ostream& out, const std::vector<CapacityRow>& rows);

}  // namespace greengage::bench

#endif  // TOOLS_BENCH_CAPACITY_H_
