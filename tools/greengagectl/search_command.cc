#include <boost/json.hpp>

#include <iostream>
#include <memory>

#include "greengage/transport/http_client.h"
#include "tools/greengagectl/command_line.h"

namespace greengage {

namespace {

constexpr std::chrono::milliseconds kTimeoutMargin{1000};

struct SearchOptions {
  std::string service;
  std::string text;
  std::string rank;
  std::string request_id;
  std::optional<uint64_t> limit;
  std::optional<uint64_t> deadline_ms;
  std::optional<uint64_t> key;
  bool non_idempotent = false;
};

std::string SerializeRequest(const SearchOptions& options) {
  boost::json::object body{{"service", options.service},
                           {"text", options.text},
                           {"idempotent", !options.non_idempotent}};
  if (!options.rank.empty()) {
    body["rank"] = options.rank;
  }
  if (!options.request_id.empty()) {
    body["request_id"] = options.request_id;
  }
  for (const auto& [name, number] :
       {std::pair("limit", options.limit),
        std::pair("deadline_ms", options.deadline_ms),
        std::pair("key", options.key)}) {
    if (number) {
      body[name] = *number;
    }
  }
  return boost::json::serialize(body);
}

std::string_view StringMember(const boost::json::object& object,
                              const char* name) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  return value->get_string();
}

void PrintArray(const boost::json::object& answer, const char* name) {
  const boost::json::value* array = answer.if_contains(name);
  if (array == nullptr || !array->is_array()) {
    return;
  }
  for (const boost::json::value& element : array->get_array()) {
    std::cout << name << ' ' << element << '\n';
  }
}

void Print(const boost::json::object& answer) {
  std::cout << "request " << StringMember(answer, "request_id") << ": "
            << StringMember(answer, "outcome") << ' '
            << StringMember(answer, "reason") << '\n';
  PrintArray(answer, "hits");
  PrintArray(answer, "covered");
  PrintArray(answer, "missing");
}

// An answer with missing shards gives kFailed, so that scripts can detect it.
ExitCode ExitCodeFor(const boost::json::object& answer, unsigned status) {
  const boost::json::value* whole = answer.if_contains("whole");
  if (status == 200) {
    return whole != nullptr && *whole == true ? ExitCode::kOk
                                              : ExitCode::kFailed;
  }
  if (StringMember(answer, "outcome") == "not_run") {
    return ExitCode::kUnavailable;
  }
  return status >= 500 ? ExitCode::kUnknown : ExitCode::kInvalid;
}

void RunSearch(const SearchOptions& options, CommandLine& line) {
  if (line.instances.empty()) {
    line.Fail({FailureKind::kMissingKey, "--instance",
               "the command needs an instance's IP:PORT"});
    return;
  }
  const auto timeout = line.timeout + kTimeoutMargin;
  HttpCall call{"POST", "/v1/query", SerializeRequest(options),
                std::chrono::steady_clock::now() + timeout};
  const auto response =
      CallAndWait(line.instances.front(), std::move(call), timeout);
  if (!response) {
    line.Fail({response.last_reason()}, ExitCode::kUnknown);
    return;
  }
  boost::system::error_code error;
  const auto answer = boost::json::parse(response->body, error);
  if (error || !answer.is_object()) {
    line.Fail({FailureKind::kMalformedMessage, ToString(line.instances.front()),
               "the answer is not a JSON object"});
    return;
  }
  line.exit_code = ExitCodeFor(answer.get_object(), response->status);
  if (line.json || answer.get_object().contains("error")) {
    std::cout << response->body << '\n';
  } else {
    Print(answer.get_object());
  }
}

}  // namespace

void AddSearchCommand(CLI::App& app, CommandLine& line) {
  CLI::App* command = app.add_subcommand("search", "Send one query");
  auto options = std::make_shared<SearchOptions>();
  command->add_option("SERVICE", options->service, "Service")->required();
  command->add_option("TEXT", options->text, "What to search for")->required();
  command->add_option("--rank", options->rank, "Name of the rank");
  command->add_option("--request-id", options->request_id, "Request id");
  command->add_option("--limit", options->limit, "Most hits wanted");
  command->add_option("--deadline-ms", options->deadline_ms, "Deadline");
  command->add_option("--key", options->key, "Key of one shard");
  command->add_flag("--non-idempotent", options->non_idempotent,
                    "Run at most once; needs --key and --request-id");
  command->footer(
      "Exits 0 with a whole answer, 1 if shards are missing, 4 if it was not\n"
      "run, 5 if that is unknown.\n"
      "Example:\n  greengagectl --instance 10.0.1.1:8080 search table-finder "
      "scones --rank guest");
  command->callback([options, &line] { RunSearch(*options, line); });
}

}  // namespace greengage
