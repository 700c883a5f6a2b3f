#include "subscription/acknowledgement_call.h"

#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace client_proxy::subscription {
namespace {

using boost::system::error_code;

constexpr std::chrono::seconds kTimeLimit{3};
constexpr std::size_t kReadBytes = 1024;
constexpr int kSuccessClass = 2;  // 2xx statuses

}  // namespace

AcknowledgementCall::AcknowledgementCall(boost::asio::io_context& io, Traffic& traffic, Done done)
    : traffic_(traffic), done_(std::move(done)), socket_(io), timer_(io) {}

void AcknowledgementCall::start(const Endpoint& replica, const std::string& body) {
  request_ = "POST /v1/acknowledgements HTTP/1.1\r\nHost: " + replica.address().to_string() + ":" +
             std::to_string(replica.port()) +
             "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body;
  timer_.expires_after(kTimeLimit);
  timer_.async_wait([self = shared_from_this()](error_code ec) {
    if (!ec) self->finish(false);
  });
  socket_.async_connect(replica, [self = shared_from_this()](error_code connected) {
    if (connected) return self->finish(false);
    boost::asio::async_write(self->socket_, boost::asio::buffer(self->request_),
                             [self](error_code written, std::size_t n) {
                               if (self->done_) self->traffic_.bytes_out += n;
                               written ? self->finish(false) : self->read();
                             });
  });
}

void AcknowledgementCall::read() {
  socket_.async_read_some(in_.space(kReadBytes), [self = shared_from_this()](error_code ec, std::size_t n) {
    if (!self->done_) return;
    if (ec) return self->finish(false);
    self->in_.commit(n);
    self->traffic_.bytes_in += n;
    error_code malformed;
    self->in_.consume(self->parser_.put(self->in_.data(), malformed));
    if (self->parser_.is_header_done()) return self->finish(self->parser_.status / 100 == kSuccessClass);
    if (malformed && malformed != http::error::need_more) return self->finish(false);
    self->read();
  });
}

void AcknowledgementCall::stop() {
  done_ = nullptr;
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

void AcknowledgementCall::finish(bool delivered) {
  const Done done = std::exchange(done_, nullptr);
  stop();
  if (done) done(delivered);
}

}  // namespace client_proxy::subscription
