// An HTTP/1.1 client connection with at most one call in flight.
#ifndef GREENGAGE_TRANSPORT_HTTP_CLIENT_CONNECTION_H_
#define GREENGAGE_TRANSPORT_HTTP_CLIENT_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "greengage/transport/http_client.h"

namespace greengage {

// Must be used on the strand of its owner only. The failure of a connection
// also ends its call in flight; see Hooks::on_closed.
class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection> {
 public:
  using Id = uint64_t;
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

  // Notifications to the owner. No hook runs inside Connect(), Send() or
  // Close().
  struct Hooks {
    std::function<void(Id)> on_connected;
    std::function<void(Id)> on_progress;  // Received part of a response.
    // The call has ended; the connection is idle or closed.
    std::function<void(Id, HttpCallResult)> on_response;
    // The connection was closed. `sent` is true if a byte of the call in flight
    // was written.
    std::function<void(Id, Failure, bool sent)> on_closed;
  };

  HttpClientConnection(Id id,
                       const Strand& strand,
                       const HttpClientLimits& limits,
                       std::shared_ptr<const Hooks> hooks);

  void Connect(const boost::asio::ip::tcp::endpoint& server);

  // Returns true if the idle connection can be used for a call. Returns false
  // if the peer has closed it or has sent unexpected bytes.
  bool IsUsable();

  // Returns true if the peer has closed the connection, whether or not this was
  // read yet.
  bool IsClosedByPeer();

  // Starts a call on an idle connection.
  void Send(const HttpCall& call, const std::string& host);

  // Closes the connection. on_closed runs later with `reason`.
  void Close(Failure reason);

  Id id() const { return id_; }
  bool closed() const { return closed_; }

  // Returns true if a call was sent on the connection.
  bool used() const { return calls_ > 0; }

  // Returns true if the server refused the connection.
  bool refused() const { return refused_; }

 private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Serializer =
      boost::beast::http::request_serializer<boost::beast::http::string_body>;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void OnConnected(const boost::system::error_code& error);
  // Sets the request to be written. Throws if a header is too long for Beast.
  void SetRequest(const HttpCall& call, const std::string& host);
  void Write();
  void WaitWritable();
  void Read();
  void OnRead(const boost::system::error_code& error, size_t size);
  void Parse();
  void OnParsed();
  // Goes on to the next response, since the last one was not that to the call.
  // Closes the connection if there were too many of these.
  void SkipResponse(const char* reason);
  void ExpectResponse();
  void OnEndOfStream(const boost::system::error_code& error);
  void OnParseError(const boost::system::error_code& error);
  // Closes the connection and returns false if the unfinished response takes
  // up too much memory.
  bool IsWithinLimits();
  // Ends the response whose memory is needed for others.
  void OnEvicted();
  HttpResponse TakeResponse();

  const Id id_;
  const Strand strand_;
  const HttpClientLimits limits_;
  const std::shared_ptr<const Hooks> hooks_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  boost::beast::flat_buffer input_;
  Request request_;
  std::function<HttpResponseMatch(const HttpResponse&)> check_;
  bool skip_body_ = false;  // Response to HEAD: no body despite Content-Length.
  std::optional<Serializer> serializer_;
  std::optional<Parser> parser_;  // Set while a response is expected.
  std::optional<ReceiveBudget::Share> memory_;  // Of the response.
  size_t received_bytes_ = 0;                   // Of the response.
  size_t skipped_responses_ = 0;                // Since the call was sent.
  size_t calls_ = 0;                            // Calls sent on the connection.
  bool connected_ = false;
  bool refused_ = false;
  bool sent_ = false;
  bool closed_ = false;
};

}  // namespace greengage

#endif  // GREENGAGE_TRANSPORT_HTTP_CLIENT_CONNECTION_H_
