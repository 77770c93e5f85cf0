// The HTTP API of the platform stand-in, with fault switches and call counters.
#ifndef STANDINS_PLATFORM_PLATFORM_H_
#define STANDINS_PLATFORM_PLATFORM_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "greengage/transport/http_server.h"
#include "standins/platform/object_store.h"

namespace greengage::standins {

// Fault switches, set by POST /faults. `lose_answers` and `lose_requests` are
// the numbers of upcoming writes that they affect; `lose_kind`, if not empty,
// restricts them to one kind of object.
struct PlatformFaults {
  bool down = false;                  // Every call ends without a response.
  std::chrono::milliseconds slow{0};  // Delay before a call takes effect.
  std::chrono::milliseconds slow_answer{0};  // Delay of the response.
  uint32_t lose_answers = 0;   // The write takes effect, its response is lost.
  uint32_t lose_requests = 0;  // The write is lost before it takes effect.
  std::string lose_kind;
};

struct PlatformCounters {
  uint64_t reads = 0;
  uint64_t lists = 0;
  uint64_t writes = 0;
  uint64_t deletes = 0;
  uint64_t watches = 0;
};

// The platform stand-in. Not thread-safe: all calls must be on the single
// thread that runs `context`.
class Platform {
 public:
  Platform(boost::asio::io_context& context,
           std::chrono::milliseconds instances_lag);

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpExchange>& exchange);

  // Ends all pending watches with status 304.
  void Stop();

 private:
  struct Watch {
    explicit Watch(boost::asio::io_context& context) : timer(context) {}

    ObjectName object;
    uint64_t after = 0;
    std::shared_ptr<HttpExchange> exchange;
    boost::asio::steady_timer timer;
  };

  void HandleControl(const HttpRequest& request,
                     const std::shared_ptr<HttpExchange>& exchange);
  void HandleCall(const HttpRequest& request,
                  const std::shared_ptr<HttpExchange>& exchange);
  void HandleRead(const ObjectName& object,
                  const HttpRequest& request,
                  const std::shared_ptr<HttpExchange>& exchange);
  void HandleWrite(const ObjectName& object,
                   const HttpRequest& request,
                   const std::shared_ptr<HttpExchange>& exchange);
  void StartWatch(const ObjectName& object,
                  uint64_t after,
                  std::chrono::milliseconds wait,
                  const std::shared_ptr<HttpExchange>& exchange);
  void CompleteWatches(const ObjectName& object);
  void FinishWatch(const std::shared_ptr<Watch>& watch,
                   std::optional<HttpResponse> response);
  void Reply(const std::shared_ptr<HttpExchange>& exchange,
             HttpResponse response);
  void RunAfter(std::chrono::milliseconds delay, std::function<void()> action);
  bool ConsumeLoss(uint32_t& count, const ObjectName& object) const;
  HttpResponse ObjectResponse(const ObjectName& object) const;
  HttpResponse ListResponse(const std::string& kind,
                            const HttpRequest& request) const;
  HttpResponse CountersResponse() const;
  Result<Done> ApplyFaults(const boost::json::object& switches);

  boost::asio::io_context& context_;
  const std::chrono::milliseconds instances_lag_;
  ObjectStore store_;
  PlatformFaults faults_;
  PlatformCounters counters_;
  std::list<std::shared_ptr<Watch>> watches_;
  std::string instances_ = R"({"instances":[]})";
};

}  // namespace greengage::standins

#endif  // STANDINS_PLATFORM_PLATFORM_H_
