// One connection to a replica's listener: requests one after the other, each answered by a Handler.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "replica/watches.h"

namespace client_proxy::replica {

struct HttpRequest {
  std::string method, path;
  std::string query;  ///< behind the question mark
  std::string body;
};

struct HttpReply {
  unsigned status = 200;
  std::string body;  ///< JSON; may be empty
};

/// What the listener does with a request.
class HttpHandler {
 public:
  using Answer = std::function<void(HttpReply)>;
  virtual ~HttpHandler() = default;
  /// How long the body of this call may be; nothing: there is no such call.
  virtual std::optional<std::size_t> bodyLimit(const std::string& method, const std::string& path) = 0;
  /// `answer` is called once, now or later.
  virtual void handle(HttpRequest request, Answer answer) = 0;
  /// A request to watch; nothing: it is none.
  virtual std::optional<WatchRequest> watchOf(const HttpRequest& request) = 0;
  virtual bool watch(boost::asio::ip::tcp::socket socket, WatchRequest request) = 0;
};

class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(boost::asio::ip::tcp::socket socket, HttpHandler& handler);
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  void start() { read(); }
  /// The handler is gone.
  void close();

  /// For a request to come, and for its answer to be taken; a connection may be idle as long.
  static constexpr std::chrono::seconds kTime{10};

 private:
  void read();
  void readBody();
  void handle();
  void reply(HttpReply reply);

  boost::beast::tcp_stream stream_;
  HttpHandler* handler_;  // null: it is gone
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  boost::beast::http::response<boost::beast::http::string_body> response_;
};

}  // namespace client_proxy::replica
