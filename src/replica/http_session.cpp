#include "replica/http_session.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "replica/wire.h"

namespace client_proxy::replica {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::uint32_t kMaxHeaderBytes = 8192;
constexpr std::size_t kMaxBufferBytes = std::size_t{64} * 1024;

// Splits a request target into path and query.
std::pair<std::string, std::string> splitTarget(std::string_view target) {
  const std::size_t question_mark = target.find('?');
  if (question_mark == std::string_view::npos) return {std::string(target), {}};
  return {std::string(target.substr(0, question_mark)), std::string(target.substr(question_mark + 1))};
}

std::string toString(boost::beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace

HttpSession::HttpSession(asio::ip::tcp::socket socket, HttpHandler& handler)
    : stream_(std::move(socket)), handler_(&handler), buffer_(kMaxBufferBytes) {
  error_code ignored;
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
}

void HttpSession::close() {
  handler_ = nullptr;
  stream_.close();
}

void HttpSession::read() {
  parser_.emplace();
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(kMaxPeerBodyBytes);
  stream_.expires_after(kTimeout);
  http::async_read_header(stream_, buffer_, *parser_,
                          [self = shared_from_this()](error_code ec, std::size_t) {
                            if (!ec && self->handler_ != nullptr) self->readBody();
                          });
}

void HttpSession::readBody() {
  const auto& head = parser_->get();
  const auto [path, query] = splitTarget(toString(head.target()));
  const auto limit = handler_->bodyLimit(toString(head.method_string()), path);
  if (!limit) return reply({404, R"({"error":"no such call"})"});
  if (parser_->content_length().value_or(0) > *limit)
    return reply({413, R"({"error":"the body is too long"})"});
  parser_->body_limit(*limit);
  http::async_read(stream_, buffer_, *parser_, [self = shared_from_this()](error_code ec, std::size_t) {
    if (self->handler_ == nullptr) return;
    if (ec == http::error::body_limit) return self->reply({413, R"({"error":"the body is too long"})"});
    if (!ec) self->handle();
  });
}

void HttpSession::handle() {
  auto& message = parser_->get();
  auto [path, query] = splitTarget(toString(message.target()));
  HttpRequest request{toString(message.method_string()), std::move(path), std::move(query),
                      std::move(message.body())};
  if (auto watch = handler_->parseWatchRequest(request)) {
    stream_.expires_never();
    handler_->startWatch(stream_.release_socket(), std::move(*watch));
    return;
  }
  stream_.expires_never();  // publishing has a timeout of its own
  handler_->handle(std::move(request), [self = shared_from_this()](HttpReply answer) {
    if (self->handler_ != nullptr) self->reply(std::move(answer));
  });
}

void HttpSession::reply(HttpReply reply) {
  const bool request_complete =
      parser_->is_done();  // otherwise the rest of the body would be parsed as a request
  response_ = {};
  response_.version(11);
  response_.result(reply.status);
  response_.keep_alive(request_complete && parser_->get().keep_alive());
  response_.set(http::field::cache_control, "no-store");
  if (!reply.body.empty()) response_.set(http::field::content_type, "application/json");
  response_.body() = std::move(reply.body);
  response_.prepare_payload();
  stream_.expires_after(kTimeout);
  http::async_write(stream_, response_, [self = shared_from_this()](error_code ec, std::size_t) {
    if (ec || self->handler_ == nullptr) return;
    if (self->response_.keep_alive()) return self->read();
    error_code ignored;
    self->stream_.socket().shutdown(asio::socket_base::shutdown_send, ignored);
  });
}

}  // namespace client_proxy::replica
