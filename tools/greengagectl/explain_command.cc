#include <unistd.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "greengage/protocol/request_trace.h"
#include "greengage/protocol/timeline.h"
#include "tools/greengagectl/command_line.h"

namespace greengage {

namespace {

namespace json = boost::json;

// Number of lines between progress reports on a terminal.
constexpr size_t kProgressIntervalLines = 100000;

// Limit of the example requests per cause.
constexpr size_t kMaxExamples = 3;

struct ExplainOptions {
  std::string request_id;
  std::vector<std::string> logs;
  std::string svg;
};

class ExplainRun {
 public:
  ExplainRun(const ExplainOptions& options, CommandLine& line)
      : options_(options), line_(line) {}

  void Run() {
    if (!ReadLogs()) {
      return;
    }
    if (collector_.unreadable() > 0) {
      std::cerr << "greengagectl: " << collector_.unreadable() << " of "
                << collector_.lines()
                << " lines are not log lines of an instance\n";
    }
    if (options_.request_id.empty()) {
      PrintFailures();
    } else {
      PrintTrace();
    }
  }

 private:
  bool ReadLogs() {
    if (options_.logs.empty()) {
      ReadLog(std::cin);
      return true;
    }
    for (const std::string& path : options_.logs) {
      std::ifstream file(path);
      if (!file) {
        line_.Fail({FailureKind::kUnreadableFile, path,
                    "the file cannot be opened for reading"});
        return false;
      }
      ReadLog(file);
    }
    return true;
  }

  void ReadLog(std::istream& log) {
    std::string text;
    while (std::getline(log, text)) {
      collector_.Add(text);
      if (collector_.lines() % kProgressIntervalLines == 0 &&
          isatty(STDERR_FILENO) != 0) {
        std::cerr << "\rread " << collector_.lines() << " lines" << std::flush;
      }
    }
  }

  void PrintFailures() const {
    json::array groups;
    for (const TraceCollector::Group& group : collector_.Failures()) {
      json::array examples;
      for (const std::string& id : group.request_ids) {
        if (examples.size() < kMaxExamples) {
          examples.emplace_back(id);
        }
      }
      if (line_.json) {
        groups.push_back(json::object{{"cause", RequestCauseName(group.cause)},
                                      {"requests", group.request_ids.size()},
                                      {"examples", std::move(examples)}});
        continue;
      }
      std::cout << group.request_ids.size() << '\t'
                << RequestCauseName(group.cause);
      for (const json::value& example : examples) {
        std::cout << '\t' << example.get_string().c_str();
      }
      std::cout << '\n';
    }
    if (line_.json) {
      std::cout << json::serialize(groups) << '\n';
    }
  }

  void PrintTrace() {
    const std::optional<RequestTrace> trace =
        collector_.Explain(options_.request_id);
    if (!trace) {
      line_.Fail({FailureKind::kNotFound, options_.request_id,
                  "no line names this request; answers that were whole and in "
                  "time are logged only now and then"});
      return;
    }
    if (!options_.svg.empty()) {
      WriteSvg(*trace);
    }
    if (line_.json) {
      std::cout << json::serialize(ToJson(*trace)) << '\n';
      return;
    }
    if (!trace->context.empty()) {
      std::cout << "before it, at the same instance:\n";
    }
    for (const LogRecord& record : trace->context) {
      std::cout << "  " << FormatRecord(record) << '\n';
    }
    std::cout << "request " << trace->request_id << ":\n";
    for (const LogRecord& record : trace->records) {
      std::cout << "  " << FormatRecord(record) << '\n';
    }
    std::cout << "cause: " << trace->summary << '\n';
  }

  void WriteSvg(const RequestTrace& trace) {
    std::ofstream file(options_.svg);
    file << TimelineSvg(TraceEvents(trace));
    if (!file.flush()) {
      line_.Fail({FailureKind::kUnreadableFile, options_.svg,
                  "the file cannot be written"});
    }
  }

  const ExplainOptions& options_;
  CommandLine& line_;
  TraceCollector collector_;
};

}  // namespace

void AddExplainCommand(CLI::App& app, CommandLine& line) {
  CLI::App* command = app.add_subcommand(
      "explain",
      "Tell from logs why a request had no whole answer in time; without a "
      "request, count the causes");
  auto options = std::make_shared<ExplainOptions>();
  command->add_option("--request", options->request_id, "The request's id");
  command->add_option("--svg", options->svg,
                      "Write a picture with a lane for each process and "
                      "searcher");
  command->add_option("logs", options->logs,
                      "Files of JSON lines from any number of instances; "
                      "standard input without one");
  command->footer(
      "Examples:\n"
      "  greengagectl explain entry-*.log\n"
      "  greengagectl explain --request 9c41d07be2a35f68 entry-*.log\n"
      "  cat entry-*.log | greengagectl --json explain --request ID");
  command->callback([options, &line] { ExplainRun(*options, line).Run(); });
}

}  // namespace greengage
