#include "subscription/watch_connection.h"

#include <boost/asio/write.hpp>
#include <utility>

#include "distribution/codec.h"

namespace client_proxy::subscription {
namespace {

using boost::system::error_code;

constexpr std::size_t kReadBytes = std::size_t{4} * 1024;
constexpr int kOk = 200;

}  // namespace

WatchConnection::WatchConnection(boost::asio::io_context& io, WatchHandler& handler, Traffic& traffic,
                                 WatchId id)
    : handler_(&handler), traffic_(traffic), id_(id), socket_(io) {}

void WatchConnection::start(const Endpoint& replica, const std::string& target) {
  request_ = "GET " + target + " HTTP/1.1\r\nHost: " + replica.address().to_string() + ":" +
             std::to_string(replica.port()) + "\r\nAccept: application/json\r\n\r\n";
  socket_.async_connect(replica, [self = shared_from_this()](error_code connected) {
    if (self->handler_ == nullptr) return;
    if (connected) return self->fail("cannot connect: " + connected.message());
    boost::asio::async_write(self->socket_, boost::asio::buffer(self->request_),
                             [self](error_code written, std::size_t) {
                               if (written) self->fail("cannot send the request: " + written.message());
                             });
    self->traffic_.bytes_out += self->request_.size();
    self->read();
    self->handler_->onConnected(self->id_);
  });
}

void WatchConnection::stop() {
  handler_ = nullptr;
  error_code ignored;
  socket_.close(ignored);
}

void WatchConnection::read() {
  socket_.async_read_some(in_.space(kReadBytes), [self = shared_from_this()](error_code ec, std::size_t n) {
    if (self->handler_ == nullptr) return;
    if (ec) return self->fail("connection lost: " + ec.message());
    self->in_.commit(n);
    self->traffic_.bytes_in += n;
    self->parse();
  });
}

void WatchConnection::parse() {
  error_code ec;
  while (in_.size() > 0 && !parser_.is_done()) {
    const std::size_t used = parser_.put(in_.data(), ec);
    in_.consume(used);
    if (ec == http::error::need_more && in_.size() <= kMostHead + kReadBytes) break;
    if (ec) return fail("malformed response: " + ec.message());
    if (!parser_.is_header_done()) continue;
    if (parser_.status != kOk) return fail("unexpected HTTP status " + std::to_string(parser_.status));
    parser_.eager(true);
  }
  if (!deliverLines()) return;
  if (parser_.is_done()) return fail("the replica ended the watch");
  if (parser_.body.size() > distribution::kMaxBodyBytes) return fail("a line exceeds the size limit");
  if (in_.size() == 0) in_.release();
  read();
}

bool WatchConnection::deliverLines() {
  const std::string text = std::exchange(parser_.body, {});
  std::size_t from = 0;
  for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', from)) {
    std::string_view line(text.data() + from, end - from);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    from = end + 1;
    if (!deliver(line)) return false;
  }
  parser_.body.assign(text, from, std::string::npos);
  return true;
}

bool WatchConnection::deliver(std::string_view line) {
  distribution::WatchLine parsed;
  try {
    parsed = distribution::parseWatchLine(line);
  } catch (const distribution::CodecError& e) {
    fail(std::string("malformed line: ") + e.what());
    return false;
  }
  handler_->onLine(id_, std::move(parsed));
  return handler_ != nullptr;
}

void WatchConnection::fail(const std::string& reason) {
  const auto self = shared_from_this();
  WatchHandler* const handler = handler_;
  stop();
  if (handler != nullptr) handler->onLost(id_, reason);
}

}  // namespace client_proxy::subscription
