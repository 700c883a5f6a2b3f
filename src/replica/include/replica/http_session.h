// One HTTP connection to a replica: reads requests one after the other and passes each to an HttpHandler.
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
  std::string query;  ///< after the question mark
  std::string body;
};

struct HttpReply {
  unsigned status = 200;
  std::string body;  ///< JSON; may be empty
};

/// Processes the requests of a replica's HTTP server.
class HttpHandler {
 public:
  using ReplyCallback = std::function<void(HttpReply)>;
  virtual ~HttpHandler() = default;
  /// The maximum body size in bytes of a request with this method and path; nullopt if there is no such path.
  virtual std::optional<std::size_t> bodyLimit(const std::string& method, const std::string& path) = 0;
  /// `callback` is called exactly once, during this call or later.
  virtual void handle(HttpRequest request, ReplyCallback callback) = 0;
  /// Parses a request to watch the configuration; nullopt if it is not one or is invalid.
  virtual std::optional<WatchRequest> parseWatchRequest(const HttpRequest& request) = 0;
  /// Takes over the connection as a watch. Returns false if there are too many; the socket is closed then.
  virtual bool startWatch(boost::asio::ip::tcp::socket socket, WatchRequest request) = 0;
};

class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(boost::asio::ip::tcp::socket socket, HttpHandler& handler);
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  void start() { read(); }
  /// Closes the connection; the handler is not called any more.
  void close();

  /// Timeout for reading a request, for writing its reply, and of an idle connection.
  static constexpr std::chrono::seconds kTimeout{10};

 private:
  void read();
  void readBody();
  void handle();
  void reply(HttpReply reply);

  boost::beast::tcp_stream stream_;
  HttpHandler* handler_;  // null: the session is closed
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  boost::beast::http::response<boost::beast::http::string_body> response_;
};

}  // namespace client_proxy::replica
