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

constexpr std::uint32_t kMaxHead = 8192;
constexpr std::size_t kMaxBuffer = std::size_t{64} * 1024;

// The path and what is behind the question mark.
std::pair<std::string, std::string> split(std::string_view target) {
  const std::size_t mark = target.find('?');
  if (mark == std::string_view::npos) return {std::string(target), {}};
  return {std::string(target.substr(0, mark)), std::string(target.substr(mark + 1))};
}

std::string textOf(boost::beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace

HttpSession::HttpSession(asio::ip::tcp::socket socket, HttpHandler& handler)
    : stream_(std::move(socket)), handler_(&handler), buffer_(kMaxBuffer) {
  error_code ignored;
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
}

void HttpSession::close() {
  handler_ = nullptr;
  stream_.close();
}

void HttpSession::read() {
  parser_.emplace();
  parser_->header_limit(kMaxHead);
  parser_->body_limit(kMaxPeerBodyBytes);
  stream_.expires_after(kTime);
  http::async_read_header(stream_, buffer_, *parser_,
                          [self = shared_from_this()](error_code ec, std::size_t) {
                            if (!ec && self->handler_ != nullptr) self->readBody();
                          });
}

void HttpSession::readBody() {
  const auto& head = parser_->get();
  const auto [path, query] = split(textOf(head.target()));
  const auto limit = handler_->bodyLimit(textOf(head.method_string()), path);
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
  auto [path, query] = split(textOf(message.target()));
  HttpRequest request{textOf(message.method_string()), std::move(path), std::move(query),
                      std::move(message.body())};
  if (auto watch = handler_->watchOf(request)) {
    stream_.expires_never();
    handler_->watch(stream_.release_socket(), std::move(*watch));
    return;
  }
  stream_.expires_never();  // a publish takes its own time
  handler_->handle(std::move(request), [self = shared_from_this()](HttpReply answer) {
    if (self->handler_ != nullptr) self->reply(std::move(answer));
  });
}

void HttpSession::reply(HttpReply reply) {
  const bool whole = parser_->is_done();  // else what is left of the body would be read as a request
  response_ = {};
  response_.version(11);
  response_.result(reply.status);
  response_.keep_alive(whole && parser_->get().keep_alive());
  response_.set(http::field::cache_control, "no-store");
  if (!reply.body.empty()) response_.set(http::field::content_type, "application/json");
  response_.body() = std::move(reply.body);
  response_.prepare_payload();
  stream_.expires_after(kTime);
  http::async_write(stream_, response_, [self = shared_from_this()](error_code ec, std::size_t) {
    if (ec || self->handler_ == nullptr) return;
    if (self->response_.keep_alive()) return self->read();
    error_code ignored;
    self->stream_.socket().shutdown(asio::socket_base::shutdown_send, ignored);
  });
}

}  // namespace client_proxy::replica
