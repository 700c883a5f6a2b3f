// A connection to a host: its attempts from the first byte to their one end.
#include "host_connection.h"

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <string>
#include <utility>

namespace client_proxy {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using load_balancer::Result;

constexpr Time kLook = 250 * kMillisecond;  // between two looks whether a long body moves

// A piece of a chunked body (RFC 9112, 7.1), behind an earlier chunk that lacks its line end.
std::string asChunks(const std::string& piece, bool last) {
  std::string chunks;
  chunks.reserve(piece.size() + 32);
  if (!piece.empty()) chunks += "\r\n" + chunkLine(piece.size());
  chunks += piece;
  if (last) chunks += "\r\n0\r\n\r\n";
  return chunks;
}

}  // namespace

void Upstream::Connection::startAttempt(AttemptId id, AttemptRequest request) {
  attempt_ = id;
  probe_ = false;
  begin(std::move(request));
}

void Upstream::Connection::startHealthCheck(std::string head) {
  probe_ = true;
  attempt_ = 0;
  setPrefix(std::move(head));
  begin({});
  const std::uint64_t turn = turn_;
  up_.timers_.after(up_.limits_.health_check_timeout, [weak = weak_from_this(), turn] {
    const auto self = weak.lock();
    if (self && self->busy_ && self->turn_ == turn) self->end(Result::TimedOut);
  });
}

ssize_t Upstream::Connection::peek() {
  char byte;
  ssize_t n = 0;
  do {
    n = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (n < 0 && errno == EINTR);
  return n;
}

bool Upstream::Connection::inputWaits() { return peek() >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK); }

bool Upstream::Connection::stale() {
  if (!inputWaits()) return false;
  if (peek() > 0) up_.noteReuse(uid_, true);
  return true;
}

void Upstream::Connection::close() {
  if (closed_) return;
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
  up_.forget(*this);
  up_.descriptors_.release(Side::Hosts);
  up_.connections_.erase(id_);  // the last thing: it may destroy this
}

void Upstream::Connection::begin(AttemptRequest request) {
  request_ = std::move(request);
  busy_ = true;
  up_.countBusy(uid_, true);
  ++turn_;
  started_ = up_.timers_.clock().now();
  sent_ = 0;
  begun_ = false;
  late_ = !connected_;
  answer_begun_ = interims_ = 0;
  come_ = 0;
  rest_done_ = waits_for_client_ = waits_for_memory_ = slow_long_answer_ = false;
  memory_wait_ = 0;
  parser_.emplace();
  if (request_.rest) watchLong();
  connected_ ? writeWhenReusable() : connect();
}

void Upstream::Connection::writeWhenReusable() {
  if (reusableAt() <= started_) return write();
  late_ = true;
  up_.timers_.at(reusableAt(), [weak = weak_from_this(), turn = turn_] {
    const auto self = weak.lock();
    if (!self || !self->busy_ || self->turn_ != turn) return;
    self->inputWaits() ? self->end(Result::NotSent) : self->write();
  });
}

void Upstream::Connection::connect() {
  error_code ec;
  socket_.open(endpoint_.protocol(), ec);
  if (!ec) socket_.non_blocking(true, ec);
  if (ec) return later(Result::NotSent);  // no descriptor: nothing was tried
  const std::uint64_t turn = turn_;
  socket_.async_connect(endpoint_, [self = shared_from_this(), turn](error_code e) {
    if (self->closed_ || self->turn_ != turn) return;
    if (e) return self->end(Result::ConnectFailed);
    self->connected_ = true;
    error_code ignored;
    self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    self->write();
  });
  up_.timers_.after(up_.limits_.connect_timeout, [weak = weak_from_this(), turn] {
    const auto self = weak.lock();
    if (self && self->busy_ && self->turn_ == turn && !self->connected_) self->end(Result::ConnectFailed);
  });
}

void Upstream::Connection::later(Result result) {
  asio::post(up_.io_, [self = shared_from_this(), turn = turn_, result] {
    if (self->busy_ && self->turn_ == turn) self->end(result);
  });
}

bool Upstream::Connection::hostIsHere() const {
  const auto it = up_.pools_.find(uid_);
  return it != up_.pools_.end() && it->second.endpoint == endpoint_;
}

bool Upstream::Connection::prepareHead() {
  if (late_ && !hostIsHere()) return false;
  if (probe_) return true;
  std::optional<std::string> head = up_.sink_.onAttemptReady(attempt_, late_);
  if (!head) return false;
  setPrefix(std::move(*head));
  return true;
}

void Upstream::Connection::setPrefix(std::string prefix) {
  prefix_ = std::move(prefix);
  request_memory_.set(prefix_.capacity());
}

std::array<asio::const_buffer, 2> Upstream::Connection::unsent() const {
  const asio::const_buffer prefix = asio::buffer(prefix_);
  const asio::const_buffer body = request_.body ? asio::buffer(*request_.body) : asio::const_buffer{};
  return {prefix + sent_, body + (sent_ > prefix.size() ? sent_ - prefix.size() : 0)};
}

void Upstream::Connection::write() {
  if (closed_ || written()) return;
  if (!begun_ && !prepareHead()) return end(Result::NotSent);
  if (begun_ && attempt_ != 0 && !up_.sink_.mayComplete(attempt_)) return end(Result::NotSent);
  error_code ec;
  do {
    while ((!ec || ec == asio::error::interrupted) && sent_ < total()) {
      sent_ += socket_.write_some(unsent(), ec);
      begun_ = begun_ || sent_ > 0;
    }
  } while (!ec && request_.rest && !rest_done_ && refill());
  moved_ = up_.timers_.clock().now();
  if (written() && attempt_ != 0) up_.sink_.onAttemptWritten(attempt_);
  if (ec == asio::error::would_block) {
    late_ = true;
    socket_.async_wait(Socket::wait_write, [self = shared_from_this(), turn = turn_](error_code e) {
      if (!e && self->busy_ && self->turn_ == turn) self->write();
    });
  }
  // Where the writing broke, what the host said before it may still wait to be read; then its end follows.
  armRead();
}

bool Upstream::Connection::refill() {
  BodyPipe& rest = *request_.rest;
  std::string piece = rest.take();
  waits_for_client_ = piece.empty() && rest.end() == BodyPipe::End::Open;
  if (waits_for_client_) {
    rest.onMore([weak = weak_from_this(), turn = turn_] {
      const auto self = weak.lock();
      if (self && self->busy_ && self->turn_ == turn && self->waits_for_client_) self->write();
    });
    return false;
  }
  if (rest.end() == BodyPipe::End::Broken) {
    later(Result::RequestIncomplete);  // its client has gone: the host never gets all of it
    return false;
  }
  const bool chunked = !rest.length();
  request_.body.reset();
  sent_ = 0;
  rest_done_ = rest.end() == BodyPipe::End::Whole;
  setPrefix(chunked ? asChunks(piece, rest_done_) : std::move(piece));
  return true;
}

void Upstream::Connection::watchLong() {
  moved_ = up_.timers_.clock().now();
  lookAfterLong();
}

void Upstream::Connection::lookAfterLong() {
  up_.timers_.after(kLook, [weak = weak_from_this(), turn = turn_] {
    const auto self = weak.lock();
    if (!self || !self->busy_ || self->turn_ != turn) return;
    const Time now = self->up_.timers_.clock().now();
    const bool sending = self->request_.rest && !self->written();
    if (!sending && !self->stream_) return;  // others look after the answer
    if (!self->connected_ || self->waits_for_client_) self->moved_ = now;
    if (now - self->moved_ > self->up_.limits_.long_still) return self->broken();
    self->lookAfterLong();
  });
}

void Upstream::Connection::end(Result result) {
  if (!busy_) return;
  busy_ = false;
  up_.countBusy(uid_, false);
  AttemptEnd report;
  report.result = result;
  report.begun = answer_begun_;
  const bool whole = parser_->is_done() && result != Result::InvalidResponse;
  if (const auto stream = std::exchange(stream_, nullptr)) {
    whole&& result == Result::Ok ? stream->finish() : stream->breakOff();
  }
  // Bytes behind a good answer take nothing from it, but the connection is out of step.
  const bool unused = result == Result::NotSent && connected_ && !begun_ && !stale();
  const bool reusable = unused || (whole && written() && parser_->keep_alive() && in_.size() == 0);
  if (whole) {
    report.load = probe_ && parser_->load.empty() ? parser_->body : std::move(parser_->load);
    if (result == Result::Rejected) report.term = std::move(parser_->term);
    report.body = std::move(parser_->body);
    report.content_type = std::move(parser_->content_type);
  }
  if (turn_ > 1 && (whole || result == Result::Reset || result == Result::RequestIncomplete)) {
    up_.noteReuse(uid_, !whole && !parser_->got_some());
  }
  const bool probe = std::exchange(probe_, false);
  const AttemptId attempt = std::exchange(attempt_, 0);
  const Time latency = up_.timers_.clock().now() - started_;
  const bool ok = result == Result::Ok;
  const std::string uid = uid_;
  Upstream& up = up_;
  parser_.reset();
  answer_memory_.cancelWait();
  request_ = {};
  setPrefix({});
  sent_ = 0;
  const auto self = shared_from_this();
  if (!probe) up.attempts_.erase(attempt);
  // The connection is idle or closed before anyone hears of it: a next attempt may want it at once.
  if (reusable) {
    idle_since_ = up.timers_.clock().now();
    countAnswer();
    armRead();
    up.keep(*this);
  } else {
    close();
  }
  if (probe) {
    up.sink_.onHealthCheckEnd(uid, ok, latency, report.load);
  } else {
    up.sink_.onAttemptEnd(attempt, std::move(report));
  }
}

}  // namespace client_proxy
