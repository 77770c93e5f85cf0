// Compares docs/OPERATIONS.md with the metrics, log lines and events of the
// code.
#include <fstream>
#include <iterator>
#include <string>

#include "greengage/state/decision_event.h"
#include "greengage/state/event_log.h"
#include "greengage/state/metrics.h"
#include "greengage/state/routed_metrics.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

std::string ReadPage() {
  std::ifstream file(GREENGAGE_SOURCE_DIR "/docs/OPERATIONS.md");
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

Test(OperationsPage, HasEveryMetricWithItsHelpText) {
  const std::string page = ReadPage();
  for (const MetricInfo& info : AllMetrics()) {
    const std::string row = "| `" + std::string(info.name) + "` | " +
                            std::string(info.type) + " | " +
                            std::string(info.help) + " |\n";
    cr_expect(page.find(row) != std::string::npos, "%s", row.c_str());
  }
}

Test(OperationsPage, HasEveryMetricOfRoutedInstances) {
  const std::string page = ReadPage();
  for (const MetricInfo& info : AllRoutedMetrics()) {
    const std::string row = "| `" + std::string(info.name) + "` | " +
                            std::string(info.type) + " | " +
                            std::string(info.help) + " |\n";
    cr_expect(page.find(row) != std::string::npos, "%s", row.c_str());
  }
}

Test(OperationsPage, HasEveryLogLineOfRoutedInstances) {
  const std::string page = ReadPage();
  for (const DecisionEventInfo& info : AllDecisionEvents()) {
    const std::string row = "| `" + std::string(info.name) + "` | " +
                            std::string(info.fields) + " | " +
                            std::string(info.meaning) + " |\n";
    cr_expect(page.find(row) != std::string::npos, "%s", row.c_str());
  }
}

Test(OperationsPage, HasEveryEvent) {
  const std::string page = ReadPage();
  for (const EventKind kind : AllEventKinds()) {
    const std::string row = "\n| `" + std::string(EventKindName(kind)) + "` | ";
    cr_expect(page.find(row) != std::string::npos, "%s", row.c_str());
  }
}

}  // namespace greengage
