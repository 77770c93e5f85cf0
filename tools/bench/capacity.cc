#include "tools/bench/capacity.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <optional>
#include <sstream>

namespace greengage::bench {

namespace {

constexpr double kSecondsPerDay = 86400;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kBytesPerMegabyte = 1e6;

// Connections that an owner keeps beyond a searcher's slots: one for an extra
// outstanding sub-request, and two for cancellation and probes.
constexpr double kSpareConnections = 3;

// Platform writes for one non-idempotent request: create, settle, delete.
constexpr double kWritesPerClaim = 3;

// Looks up figures and records the name of the first missing one.
class Lookup {
 public:
  Lookup(const Figures& fleet, const Figures& measured)
      : fleet_(fleet), measured_(measured) {}

  double operator()(const std::string& name) {
    for (const Figures* figures : {&fleet_, &measured_}) {
      const auto found = figures->find(name);
      if (found != figures->end()) {
        return found->second;
      }
    }
    missing_ = missing_.value_or(name);
    return 0;
  }

  const std::optional<std::string>& missing() const { return missing_; }

 private:
  const Figures& fleet_;
  const Figures& measured_;
  std::optional<std::string> missing_;
};

using Rows = std::vector<CapacityRow>;

double SubRequestsPerInstance(Lookup& figure) {
  return figure("queries_per_second") * figure("fan_out") / figure("instances");
}

// Expected number of `owners` that receive at least one of `count` sub-requests
// distributed uniformly at random.
double DistinctOwners(double owners, double count) {
  return owners * (1 - std::pow(1 - 1 / owners, count));
}

void AddEntry(Lookup& figure, Rows& rows) {
  const double queries = figure("queries_per_second") / figure("instances");
  const double sub_requests = SubRequestsPerInstance(figure);
  const double owners = figure("instances") / figure("data_centres");
  const double messages = queries * DistinctOwners(owners, figure("fan_out"));
  const double in_flight = queries * figure("answer_target");
  const double line_seconds = figure("time_line_events") /
                              (sub_requests * figure("events_per_sub_request"));
  const auto add = [&rows](std::string quantity, double value, std::string unit,
                           std::string mechanism) {
    rows.push_back({"entry", std::move(quantity), value, std::move(unit), 0,
                    std::move(mechanism)});
  };
  add("queries", queries, "1/s", "the platform's balancer");
  add("sub-requests", sub_requests, "1/s", "one plan a query");
  add("messages to owners", messages, "1/s",
      "sub-requests to one owner share a message");
  add("processor time",
      sub_requests * figure("entry_cpu_forwarded") / kMicrosecondsPerSecond,
      "cores", "shards under their own locks");
  add("queries in flight at the target", in_flight, "", "admission");
  add("memory of queries in flight",
      in_flight * figure("query_memory") / kBytesPerMegabyte, "MB",
      "admission by rank");
  add("time line kept", line_seconds, "s", "ring of bounded size");
}

void AddOwner(Lookup& figure, Rows& rows) {
  const double owned = figure("searchers") / figure("instances");
  const double per_searcher = figure("searcher_slots") + kSpareConnections;
  const double sub_requests = SubRequestsPerInstance(figure);
  rows.push_back({"owner", "searchers owned", owned, "", 0,
                  "rendezvous hashing, at most a quarter more"});
  rows.push_back({"owner", "sub-requests", sub_requests, "1/s", 0,
                  "queue by rank for each searcher"});
  rows.push_back(
      {"owner", "processor time",
       sub_requests * figure("owner_cpu_forwarded") / kMicrosecondsPerSecond,
       "cores", 0, "searchers in shards under their own locks"});
  rows.push_back({"owner", "connections to one searcher", per_searcher, "",
                  figure("searcher_connections"), "one owner a searcher"});
  rows.push_back({"owner", "connections to searchers", owned * per_searcher, "",
                  0, "one owner a searcher"});
  rows.push_back(
      {"owner", "memory of those connections",
       owned * per_searcher * figure("connection_memory") / kBytesPerMegabyte,
       "MB", 0, "pools of bounded size"});
}

void AddControl(Lookup& figure, Rows& rows) {
  const double instances = figure("instances");
  const double changes = figure("changes_per_day") / kSecondsPerDay;
  const double apply = figure("configuration_parse") + figure("delta_apply");
  const double gossip =
      figure("gossip_bytes") + figure("gossip_bytes_slope") * instances;
  const double spread =
      changes * (figure("change_gossip_bytes") + figure("delta_bytes"));
  rows.push_back({"gossip member", "datagrams, quiet", gossip, "B/s", 0,
                  "two ring successors a second"});
  rows.push_back({"gossip member", "datagrams, 30 % lost, the day's changes",
                  figure("gossip_bytes_lossy") + spread, "B/s",
                  figure("control_bytes_limit"),
                  "gossip of bounded rounds, digests"});
  rows.push_back({"gossip member", "processor time, quiet",
                  figure("control_cpu_idle"), "% of a core",
                  figure("control_cpu_limit"), "ring probing"});
  rows.push_back({"gossip member", "processor time with the day's changes",
                  figure("control_cpu_idle") + 100 * changes * apply,
                  "% of a core", figure("control_cpu_limit"),
                  "deltas, then a parse of the whole text"});
  rows.push_back(
      {"gossip member", "memory",
       figure("process_memory") + figure("process_memory_slope") * instances,
       "MB", figure("control_memory_limit"),
       "one table, one parsed configuration and a few texts"});
}

void AddWatcher(Lookup& figure, Rows& rows) {
  const double watchers =
      figure("watchers_per_data_centre") * figure("data_centres");
  const double changes = figure("changes_per_day") / kSecondsPerDay;
  const double list_bytes = (figure("searchers") + figure("instances")) *
                            figure("list_entry_bytes") / figure("list_period");
  rows.push_back({"watcher", "waiting watches at the platform", watchers, "", 0,
                  "two watchers a data centre"});
  rows.push_back({"watcher", "reads of the platform, all watchers",
                  watchers * (1 / figure("list_period") + changes), "1/s",
                  figure("platform_reads_limit"),
                  "two watchers a data centre"});
  rows.push_back({"watcher", "whole texts from the platform",
                  changes * figure("configuration_bytes"), "B/s",
                  figure("control_bytes_limit"), "long watch"});
  rows.push_back({"watcher", "lists from the platform", list_bytes, "B/s",
                  figure("control_bytes_limit"), "reads of the whole list"});
  rows.push_back({"watcher", "size of the configuration",
                  figure("configuration_bytes"), "B", figure("object_limit"),
                  "one object"});
}

void AddClaims(Lookup& figure, Rows& rows) {
  rows.push_back({"claims", "most non-idempotent requests, whole fleet",
                  figure("platform_writes_limit") / kWritesPerClaim, "1/s", 0,
                  "one claim a request: create, settle, delete"});
}

void AddOperator(Lookup& figure, Rows& rows) {
  rows.push_back(
      {"operators' client", "status calls while it waits",
       figure("instances") * figure("changes_per_day") / kSecondsPerDay, "1/s",
       0, "one call an instance, spread over the fleet"});
  rows.push_back({"operators' client", "writes of the platform",
                  figure("changes_per_day") / kSecondsPerDay, "1/s",
                  figure("platform_writes_limit"),
                  "one conditional update a change"});
}

std::string FormatValue(double value) {
  std::ostringstream text;
  text << std::setprecision(4) << value;
  return text.str();
}

void PrintRow(std::ostream& out, const CapacityRow& row) {
  out << "| " << row.role << " | " << row.quantity << " | "
      << FormatValue(row.value) << (row.unit.empty() ? "" : " ") << row.unit
      << " | " << (row.limit == 0 ? "" : FormatValue(row.limit)) << " | "
      << row.mechanism << " |\n";
}

void PrintHead(std::ostream& out) {
  out << "| role | quantity, for each instance unless said | value | limit | "
         "mechanism |\n| --- | --- | --- | --- | --- |\n";
}

}  // namespace

Result<Figures> ReadFigures(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Failure{FailureKind::kUnreadableFile, path, "cannot be read"};
  }
  Figures figures;
  std::string line;
  std::getline(file, line);
  while (std::getline(file, line)) {
    const size_t first = line.find(',');
    const size_t second = line.find(',', first + 1);
    const std::string name = line.substr(0, first);
    double value = 0;
    const auto [end, status] =
        std::from_chars(line.data() + std::min(first + 1, line.size()),
                        line.data() + std::min(second, line.size()), value);
    std::string subject = path;
    subject.append(", ").append(name);
    if (first == std::string::npos || status != std::errc()) {
      return Failure{FailureKind::kInvalidSyntax, subject,
                     "expected NAME,NUMBER,…"};
    }
    if (!figures.emplace(name, value).second) {
      return Failure{FailureKind::kDuplicate, subject, "is given twice"};
    }
  }
  return figures;
}

Result<std::vector<CapacityRow>> ComputeCapacity(const Figures& fleet,
                                                 const Figures& measured) {
  Lookup figure(fleet, measured);
  Rows rows;
  AddEntry(figure, rows);
  AddOwner(figure, rows);
  AddControl(figure, rows);
  AddWatcher(figure, rows);
  AddClaims(figure, rows);
  AddOperator(figure, rows);
  if (figure.missing()) {
    return Failure{FailureKind::kMissingKey, *figure.missing(),
                   "is in neither file of figures"};
  }
  return rows;
}

void PrintCapacity(std::ostream& out, const std::vector<CapacityRow>& rows) {
  out << "What does not fit:\n\n";
  PrintHead(out);
  for (const CapacityRow& row : rows) {
    if (!row.fits()) {
      PrintRow(out, row);
    }
  }
  out << "\nAll figures:\n\n";
  PrintHead(out);
  for (const CapacityRow& row : rows) {
    PrintRow(out, row);
  }
}

}  // namespace greengage::bench
