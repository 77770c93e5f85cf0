// Answers that end at any byte, by the end of the stream or by a reset.
#include <chrono>
#include <string>
#include <utility>

#include "greengage/transport/http_client.h"
#include "tests/harness/io_threads.h"
#include "tests/harness/raw_server.h"
#include "tests/harness/start_call.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

constexpr std::chrono::milliseconds kDeadline{5000};

constexpr char kHead[] = "HTTP/1.1 200 OK\r\nX-Stamp: 3e1b.07\r\n";
constexpr char kBody[] = "a body of some bytes";

enum class Framing : uint8_t { kLength, kChunked, kEndOfStream };
enum class Cut : uint8_t { kEndOfStream, kReset };

struct Answer {
  std::string bytes;
  size_t head_bytes = 0;
};

Answer MakeAnswer(Framing framing) {
  const std::string body = kBody;
  switch (framing) {
    case Framing::kLength: {
      const std::string head = std::string(kHead) + "Content-Length: " +
                               std::to_string(body.size()) + "\r\n\r\n";
      return {head + body, head.size()};
    }
    case Framing::kChunked: {
      const std::string head =
          std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n";
      return {head + "a\r\n" + body.substr(0, 10) + "\r\na;x=y\r\n" +
                  body.substr(10) + "\r\n0\r\nTrailer: t\r\n\r\n",
              head.size()};
    }
    case Framing::kEndOfStream:
      break;
  }
  const std::string head = std::string(kHead) + "\r\n";
  return {head + body, head.size()};
}

HttpCallResult CallOnce(HttpClient& client) {
  HttpCall call;
  call.target = "/";
  call.deadline = std::chrono::steady_clock::now() + kDeadline;
  return StartCall(client, std::move(call)).get();
}

// Returns the response to a call whose answer ends after `size` bytes. On a
// kept connection, another call was answered before.
HttpCallResult CallWithCutAnswer(IoThreads& io,
                                 const Answer& answer,
                                 size_t size,
                                 Cut cut,
                                 bool kept) {
  const auto server = RawServer::Start(
      io.context(), [bytes = answer.bytes.substr(0, size), cut,
                     is_first = kept](const RawRequest& /*request*/) mutable {
        if (std::exchange(is_first, false)) {
          return RawReply{MakeAnswer(Framing::kLength).bytes};
        }
        RawReply reply{bytes};
        reply.close = cut == Cut::kEndOfStream;
        reply.reset = cut == Cut::kReset;
        return reply;
      });
  const auto client =
      HttpClient::Create(io.context(), server->endpoint(), {.connections = 1});
  if (kept) {
    cr_assert(CallOnce(*client).response.ok());
  }
  return CallOnce(*client);
}

void CheckAllCuts(Framing framing) {
  IoThreads io(1);
  const Answer answer = MakeAnswer(framing);
  for (const Cut cut : {Cut::kEndOfStream, Cut::kReset}) {
    for (const bool kept : {false, true}) {
      for (size_t size = 0; size < answer.bytes.size(); ++size) {
        const HttpCallResult result =
            CallWithCutAnswer(io, answer, size, cut, kept);
        // Without a length, the end of the stream is the end of the body.
        const bool may_be_whole = framing == Framing::kEndOfStream &&
                                  cut == Cut::kEndOfStream &&
                                  size >= answer.head_bytes;
        cr_assert(result.response.ok() == may_be_whole, "after %zu bytes",
                  size);
        cr_assert(result.sent);
      }
    }
  }
}

}  // namespace

// Guards against a head or body that is cut short and counts as a whole answer.
Test(CutAnswer, WithALengthIsNeverWhole) {
  CheckAllCuts(Framing::kLength);
}

Test(CutAnswer, InChunksIsNeverWhole) {
  CheckAllCuts(Framing::kChunked);
}

Test(CutAnswer, WithoutALengthIsWholeOnlyBehindItsHead) {
  CheckAllCuts(Framing::kEndOfStream);
}

Test(CutAnswer, UncutAnswersAreWhole) {
  IoThreads io(1);
  for (const Framing framing :
       {Framing::kLength, Framing::kChunked, Framing::kEndOfStream}) {
    const Answer answer = MakeAnswer(framing);
    const HttpCallResult result = CallWithCutAnswer(
        io, answer, answer.bytes.size(), Cut::kEndOfStream, true);
    cr_assert(result.response.ok() && result.response->body == kBody);
  }
}

}  // namespace greengage
