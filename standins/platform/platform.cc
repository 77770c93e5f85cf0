#include "standins/platform/platform.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>

#include "standins/common/json.h"

namespace greengage::standins {

namespace {

constexpr std::string_view kObjectsPrefix = "/objects/";
constexpr uint64_t kDefaultListLimit = 1000;
constexpr std::chrono::milliseconds kMaxWatchTimeout{60000};
constexpr std::array<std::string_view, 6> kFaultSwitches = {
    "down",         "slow_ms",       "slow_answer_ms",
    "lose_answers", "lose_requests", "lose_kind"};

HttpResponse EmptyResponse(unsigned status) {
  HttpResponse response;
  response.status = status;
  return response;
}

HttpResponse InvalidResponse(const Failure& failure) {
  return JsonResponse(
      400, {{"error",
             {{"kind", boost::json::string(FailureKindName(failure.kind))},
              {"subject", failure.subject},
              {"detail", failure.detail}}}});
}

std::optional<uint64_t> NumberParameter(const HttpRequest& request,
                                        const std::string& name) {
  const auto found = request.parameters.find(name);
  if (found == request.parameters.end()) {
    return std::nullopt;
  }
  const std::string& text = found->second;
  uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

std::string TextParameter(const HttpRequest& request, const std::string& name) {
  const auto found = request.parameters.find(name);
  return found == request.parameters.end() ? std::string() : found->second;
}

// Parses /objects/KIND/NAME, or /objects/KIND with an empty name for a list.
std::optional<ObjectName> ParseObjectPath(std::string_view path) {
  if (!path.starts_with(kObjectsPrefix)) {
    return std::nullopt;
  }
  path.remove_prefix(kObjectsPrefix.size());
  const size_t slash = path.find('/');
  if (path.empty() || slash == 0) {
    return std::nullopt;
  }
  if (slash == std::string_view::npos) {
    return ObjectName{std::string(path), ""};
  }
  return ObjectName{std::string(path.substr(0, slash)),
                    std::string(path.substr(slash + 1))};
}

HttpResponse WriteResponse(const WriteResult& result) {
  return JsonResponse(result.written ? 200 : 409,
                      {{"version", result.version}});
}

}  // namespace

Platform::Platform(boost::asio::io_context& context,
                   std::chrono::milliseconds instances_lag)
    : context_(context), instances_lag_(instances_lag) {}

void Platform::Handle(const HttpRequest& request,
                      const std::shared_ptr<HttpExchange>& exchange) {
  if (request.path == "/faults" || request.path == "/counters" ||
      (request.path == "/instances" && request.method == "POST")) {
    HandleControl(request, exchange);
    return;
  }
  RunAfter(faults_.slow, [this, request, exchange] {
    if (faults_.down) {
      exchange->Abort();
      return;
    }
    HandleCall(request, exchange);
  });
}

void Platform::Stop() {
  while (!watches_.empty()) {
    FinishWatch(watches_.front(), EmptyResponse(304));
  }
}

void Platform::HandleControl(const HttpRequest& request,
                             const std::shared_ptr<HttpExchange>& exchange) {
  if (request.path == "/counters") {
    exchange->Reply(CountersResponse());
    return;
  }
  const Result<boost::json::object> body = ParseObject(request.body);
  if (!body) {
    exchange->Reply(InvalidResponse(body.last_reason()));
    return;
  }
  if (request.path == "/instances") {
    RunAfter(instances_lag_,
             [this, text = request.body] { instances_ = text; });
    exchange->Reply(EmptyResponse(204));
    return;
  }
  const Result<Done> applied = ApplyFaults(*body);
  exchange->Reply(applied ? EmptyResponse(204)
                          : InvalidResponse(applied.last_reason()));
}

Result<Done> Platform::ApplyFaults(const boost::json::object& switches) {
  for (const auto& [name, value] : switches) {
    if (std::find(kFaultSwitches.begin(), kFaultSwitches.end(),
                  std::string_view(name.data(), name.size())) ==
        kFaultSwitches.end()) {
      return Failure{FailureKind::kUnknownKey, std::string(name),
                     "no such fault switch"};
    }
  }
  const auto count = [&](std::string_view name, uint32_t current) {
    return static_cast<uint32_t>(NumberOr(switches, name, current));
  };
  const auto delay = [&](std::string_view name,
                         std::chrono::milliseconds current) {
    return std::chrono::milliseconds(
        NumberOr(switches, name, static_cast<uint64_t>(current.count())));
  };
  faults_.down = BoolOr(switches, "down", faults_.down);
  faults_.slow = delay("slow_ms", faults_.slow);
  faults_.slow_answer = delay("slow_answer_ms", faults_.slow_answer);
  faults_.lose_answers = count("lose_answers", faults_.lose_answers);
  faults_.lose_requests = count("lose_requests", faults_.lose_requests);
  faults_.lose_kind = TextOr(switches, "lose_kind", faults_.lose_kind);
  while (faults_.down && !watches_.empty()) {
    FinishWatch(watches_.front(), std::nullopt);
  }
  return Done{};
}

void Platform::HandleCall(const HttpRequest& request,
                          const std::shared_ptr<HttpExchange>& exchange) {
  if (request.path == "/instances" && request.method == "GET") {
    ++counters_.reads;
    HttpResponse response;
    response.body = instances_;
    Reply(exchange, std::move(response));
    return;
  }
  const std::optional<ObjectName> object = ParseObjectPath(request.path);
  if (!object) {
    Reply(exchange, EmptyResponse(404));
  } else if (request.method == "GET" && object->name.empty()) {
    ++counters_.lists;
    Reply(exchange, ListResponse(object->kind, request));
  } else if (request.method == "GET") {
    HandleRead(*object, request, exchange);
  } else if (!object->name.empty() &&
             (request.method == "PUT" || request.method == "DELETE")) {
    HandleWrite(*object, request, exchange);
  } else {
    Reply(exchange, EmptyResponse(405));
  }
}

void Platform::HandleRead(const ObjectName& object,
                          const HttpRequest& request,
                          const std::shared_ptr<HttpExchange>& exchange) {
  const std::optional<uint64_t> after = NumberParameter(request, "after");
  const StoredObject* current = store_.Find(object);
  const bool newer = current != nullptr && current->version > after.value_or(0);
  if (!after || newer) {
    ++counters_.reads;
    Reply(exchange, ObjectResponse(object));
    return;
  }
  ++counters_.watches;
  const std::chrono::milliseconds wait(
      NumberParameter(request, "wait_ms").value_or(0));
  StartWatch(object, *after, std::min(wait, kMaxWatchTimeout), exchange);
}

void Platform::HandleWrite(const ObjectName& object,
                           const HttpRequest& request,
                           const std::shared_ptr<HttpExchange>& exchange) {
  if (ConsumeLoss(faults_.lose_requests, object)) {
    exchange->Abort();
    return;
  }
  const std::optional<uint64_t> expected = NumberParameter(request, "expected");
  const bool is_delete = request.method == "DELETE";
  ++(is_delete ? counters_.deletes : counters_.writes);
  const WriteResult result = is_delete
                                 ? store_.Delete(object, expected)
                                 : store_.Put(object, expected, request.body,
                                              std::chrono::system_clock::now());
  if (result.written) {
    CompleteWatches(object);
  }
  if (result.written && ConsumeLoss(faults_.lose_answers, object)) {
    exchange->Abort();
    return;
  }
  const bool absent = is_delete && !result.written && result.version == 0;
  Reply(exchange, absent ? EmptyResponse(404) : WriteResponse(result));
}

void Platform::StartWatch(const ObjectName& object,
                          uint64_t after,
                          std::chrono::milliseconds wait,
                          const std::shared_ptr<HttpExchange>& exchange) {
  const auto watch = std::make_shared<Watch>(context_);
  watch->object = object;
  watch->after = after;
  watch->exchange = exchange;
  watches_.push_back(watch);
  exchange->OnClientDisconnected(
      [this, watch] { FinishWatch(watch, std::nullopt); });
  watch->timer.expires_after(wait);
  watch->timer.async_wait(
      [this, watch](const boost::system::error_code& error) {
        if (!error) {
          FinishWatch(watch, EmptyResponse(304));
        }
      });
}

void Platform::CompleteWatches(const ObjectName& object) {
  const std::list<std::shared_ptr<Watch>> watches = watches_;
  for (const std::shared_ptr<Watch>& watch : watches) {
    if (watch->object == object) {
      FinishWatch(watch, ObjectResponse(object));
    }
  }
}

// Closes the connection if there is no `response`.
void Platform::FinishWatch(const std::shared_ptr<Watch>& watch,
                           std::optional<HttpResponse> response) {
  // `watch` may refer to an element of watches_, which remove() destroys.
  // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
  const std::shared_ptr<Watch> finished = watch;
  watches_.remove(finished);
  finished->timer.cancel();
  if (response) {
    Reply(finished->exchange, *std::move(response));
  } else {
    finished->exchange->Abort();
  }
}

void Platform::Reply(const std::shared_ptr<HttpExchange>& exchange,
                     HttpResponse response) {
  RunAfter(faults_.slow_answer, [exchange, response = std::move(response)] {
    exchange->Reply(response);
  });
}

void Platform::RunAfter(std::chrono::milliseconds delay,
                        std::function<void()> action) {
  if (delay.count() == 0) {
    action();
    return;
  }
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(context_, delay);
  timer->async_wait([timer, action = std::move(action)](
                        const boost::system::error_code&) { action(); });
}

bool Platform::ConsumeLoss(uint32_t& count, const ObjectName& object) const {
  const bool matches_kind =
      faults_.lose_kind.empty() || faults_.lose_kind == object.kind;
  if (count == 0 || !matches_kind) {
    return false;
  }
  --count;
  return true;
}

HttpResponse Platform::ObjectResponse(const ObjectName& object) const {
  const StoredObject* current = store_.Find(object);
  if (current == nullptr) {
    return EmptyResponse(404);
  }
  return JsonResponse(200,
                      {{"kind", object.kind},
                       {"name", object.name},
                       {"version", current->version},
                       {"value", current->value},
                       {"modified_ms", SinceEpoch(current->modified).count()}});
}

HttpResponse Platform::ListResponse(const std::string& kind,
                                    const HttpRequest& request) const {
  boost::json::array objects;
  const uint64_t limit =
      NumberParameter(request, "limit").value_or(kDefaultListLimit);
  for (const ListedObject& object :
       store_.List(kind, TextParameter(request, "after"), limit)) {
    objects.push_back({{"name", object.name},
                       {"version", object.version},
                       {"modified_ms", SinceEpoch(object.modified).count()}});
  }
  return JsonResponse(200, {{"objects", std::move(objects)}});
}

HttpResponse Platform::CountersResponse() const {
  return JsonResponse(200, {{"reads", counters_.reads},
                            {"lists", counters_.lists},
                            {"writes", counters_.writes},
                            {"deletes", counters_.deletes},
                            {"watches", counters_.watches},
                            {"waiting", watches_.size()}});
}

}  // namespace greengage::standins
