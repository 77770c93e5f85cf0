// Answers that end at any byte, by the end of the stream or by a reset.
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "greengage/transport/http_client.h"
#include "tests/harness/io_threads.h"

#include <criterion/criterion.h>

namespace greengage {
namespace {

namespace asio = boost::asio;

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

// Answers each request of a connection with the next of the given texts, and
// then ends the connection.
class CuttingServer : public std::enable_shared_from_this<CuttingServer> {
 public:
  static std::shared_ptr<CuttingServer> Start(asio::io_context& context,
                                              std::vector<std::string> answers,
                                              Cut cut) {
    std::shared_ptr<CuttingServer> server(
        new CuttingServer(context, std::move(answers), cut));
    server->Accept();
    return server;
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  struct Session {
    explicit Session(asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)) {}
    asio::ip::tcp::socket socket;
    std::string input;
    size_t answered = 0;
  };

  CuttingServer(asio::io_context& context,
                std::vector<std::string> answers,
                Cut cut)
      : acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
        answers_(std::move(answers)),
        cut_(cut) {}

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](auto error, auto socket) {
          if (!error) {
            self->Serve(std::make_shared<Session>(std::move(socket)));
            self->Accept();
          }
        });
  }

  void Serve(const std::shared_ptr<Session>& session) {
    asio::async_read_until(
        session->socket, asio::dynamic_buffer(session->input), "\r\n\r\n",
        [self = shared_from_this(), session](auto error, size_t size) {
          if (error) {
            return;
          }
          session->input.erase(0, size);
          asio::write(session->socket,
                      asio::buffer(self->answers_[session->answered]), error);
          if (++session->answered < self->answers_.size()) {
            self->Serve(session);
          } else if (self->cut_ == Cut::kReset) {
            session->socket.set_option(asio::socket_base::linger(true, 0));
            session->socket.close();
          }
        });
  }

  asio::ip::tcp::acceptor acceptor_;
  const std::vector<std::string> answers_;
  const Cut cut_;
};

HttpCallResult CallOnce(HttpClient& client) {
  const auto ended = std::make_shared<std::promise<HttpCallResult>>();
  HttpCall call;
  call.target = "/";
  call.deadline = std::chrono::steady_clock::now() + kDeadline;
  client.Start(std::move(call), [ended](HttpCallResult result) {
    ended->set_value(std::move(result));
  });
  return ended->get_future().get();
}

// Returns the response to a call whose answer ends after `size` bytes. On a
// kept connection, another call was answered before.
HttpCallResult CallWithCutAnswer(IoThreads& io,
                                 const Answer& answer,
                                 size_t size,
                                 Cut cut,
                                 bool kept) {
  std::vector<std::string> answers;
  if (kept) {
    answers.push_back(MakeAnswer(Framing::kLength).bytes);
  }
  answers.push_back(answer.bytes.substr(0, size));
  const auto server =
      CuttingServer::Start(io.context(), std::move(answers), cut);
  const auto client =
      HttpClient::Create(io.context(), server->endpoint(), {.connections = 1});
  if (kept) {
    cr_assert(CallOnce(*client).response.ok());
  }
  return CallOnce(*client);
}

void CheckAllCuts(Framing framing) {
  IoThreads io(2);
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
  IoThreads io(2);
  for (const Framing framing :
       {Framing::kLength, Framing::kChunked, Framing::kEndOfStream}) {
    const Answer answer = MakeAnswer(framing);
    const HttpCallResult result = CallWithCutAnswer(
        io, answer, answer.bytes.size(), Cut::kEndOfStream, true);
    cr_assert(result.response.ok() && result.response->body == kBody);
  }
}

}  // namespace greengage
