// A client's connection: its answers, its rest and its end.
#include "client_connection.h"

#include <unistd.h>

#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>

#include "net/buffers.h"
#include "net/socket_io.h"

namespace client_proxy {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr int kLongSendBuffer = 128 * 1024;  // a slow client is heard of before megabytes wait for it
constexpr Time kHostMayRest = 10 * kSecond;  // between pieces of a long answer: the host's side ends it
constexpr std::size_t kChunkFraming = 32;    // bytes: a chunk's size line, the line ends, the last chunk
constexpr Time kRetired = kSecond;           // a client at rest has to close in turn

std::string_view reasonOf(int status) {
  const auto text = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
  return {text.data(), text.size()};
}

void appendNumber(std::string& to, std::uint64_t value) {
  std::array<char, 20> digits;
  const auto r = std::to_chars(digits.data(), digits.data() + digits.size(), value);
  to.append(digits.data(), r.ptr);
}

std::string headOf(int status, const std::string& content_type, std::size_t reserve = 160) {
  std::string head;
  head.reserve(reserve);
  head += "HTTP/1.1 ";
  appendNumber(head, static_cast<std::uint64_t>(status));
  head += ' ';
  head += reasonOf(status);
  head += "\r\n";
  if (!content_type.empty()) {
    head += "Content-Type: ";
    head += content_type;
    head += "\r\n";
  }
  return head;
}

}  // namespace

void Server::Connection::rest() {
  if (resting_ && state_ == State::Reading) server_.gate_.onIdle(server_.now(), id_);
}

void Server::Connection::start() {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  nextRequest();
}

bool Server::Connection::inputWaits() {
  error_code ec;
  return socket_.available(ec) > 0 && !ec;
}

void Server::Connection::answer(Answer answer) {
  resting_ = false;
  if (std::exchange(uploading_, false)) {
    close_ = true;  // the rest of what it sends is not wanted
    pipe_->breakOff();
  }
  const RejectionReason verdict = server_.gate_.onAnswer(server_.now(), id_, in_.size() > 0);
  if (verdict != RejectionReason::None) close_ = true;
  cause_ = verdict;
  out_ = headOf(answer.status, answer.content_type);
  if (answer.retry_after) {
    out_ += "Retry-After: ";
    out_ += formatSeconds(*answer.retry_after);
    out_ += "\r\n";
  }
  rest_ = std::move(answer.rest);
  if (rest_) streamed_ = exchange_;
  chunked_ = rest_ && !rest_->length() && !old_version_;
  if (chunked_) {
    out_ += "Transfer-Encoding: chunked\r\n";
  } else if (!rest_ || rest_->length()) {
    out_ += "Content-Length: ";
    appendNumber(out_, rest_ ? *rest_->length() : answer.body.size());
    out_ += "\r\n";
  } else {
    close_ = true;  // HTTP/1.0: its end is the connection's
  }
  if (server_.draining_) close_ = true, cause_ = RejectionReason::Shutdown;
  if (close_) {
    out_ += "Connection: close\r\n";
  } else if (old_version_) {
    out_ += "Connection: keep-alive\r\n";
  }
  out_ += "\r\n";
  if (rest_) {
    error_code ignored;
    socket_.set_option(asio::socket_base::send_buffer_size(kLongSendBuffer), ignored);
    rest_->onMore([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->passOn();
    });
  }
  if (chunked_) out_ += chunkLine(answer.body.size());
  out_ += answer.body;
  server_.exchanges_.erase(exchange_);
  parser_.reset();  // with the body of a request that is refused
  pipe_.reset();
  waits_for_memory_ = false;
  input_memory_.cancelWait();
  countInput();
  state_ = State::Answering;
  write();
}

void Server::Connection::passOn() {
  if (state_ != State::Answering || writing_ || !rest_) return;
  const std::string piece = rest_->take();
  const BodyPipe::End end = rest_->end();
  if (!piece.empty()) {
    out_.reserve(piece.size() + kChunkFraming);
    if (chunked_) {
      out_ += "\r\n";
      out_ += chunkLine(piece.size());
    }
    out_ += piece;
  } else if (end == BodyPipe::End::Broken) {
    return close(RejectionReason::ResponseTruncated);
  }
  if (end == BodyPipe::End::Whole) {
    if (chunked_) out_ += "\r\n0\r\n\r\n";
    rest_.reset();
  }
  if (out_.empty() && rest_) return server_.gate_.extend(id_, server_.now() + kHostMayRest);
  // Each piece has the time that a whole answer has: whoever takes nothing at all loses it.
  server_.gate_.extend(id_, server_.now() + server_.limits_.connections.write);
  if (out_.empty()) return onAnswered();
  write();
}

void Server::Connection::overdue(RejectionReason reason) {
  if (resting_ && inputWaits())
    return server_.gate_.notePendingInput(server_.now(), id_);  // its reading is under way
  if (resting_ && reason == RejectionReason::IdleTimeout) return retire(reason);
  if (resting_ || state_ != State::Reading) return close(reason);
  // Not the client's fault: it may have sent all of its request.
  std::optional<RejectionReason> unread;
  if (waits_for_memory_) unread = RejectionReason::BodyMemory;
  if (uploadPaused()) unread = RejectionReason::DeadlineUnreachable;
  abandonUpload();
  if (state_ == State::Closed) return;
  refuse(unread ? 503 : 408);
  cause_ = unread.value_or(reason);
}

void Server::Connection::retire(RejectionReason reason) {
  cause_ = reason;
  resting_ = false;
  linger();
  if (state_ != State::Closed) server_.gate_.extend(id_, server_.now() + kRetired);
}

void Server::Connection::handOn() {
  if (!resting_ || state_ != State::Reading || in_.size() > 0) return;
  if (!server_.give_(socket_.native_handle())) return;
  error_code ignored;
  ::close(socket_.release(ignored));  // it lives on elsewhere: this loop must not hear of it any more
  close(RejectionReason::HandedOver);
}

void Server::Connection::close(RejectionReason reason) {
  if (state_ == State::Closed) return;
  state_ = State::Closed;
  ended();
  input_memory_.cancelWait();
  if (pipe_) std::exchange(pipe_, nullptr)->breakOff();
  error_code ignored;
  if (rest_) {
    // Nothing that could pass for a whole answer.
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    std::exchange(rest_, nullptr)->giveUp();
  }
  socket_.close(ignored);
  tellStreamed(false);
  server_.remove(id_, reason);  // the last thing: it may destroy this
}

void Server::Connection::tellStreamed(bool whole) {
  const ExchangeId exchange = std::exchange(streamed_, 0);
  if (exchange != 0 && !server_.ending_) server_.sink_.onStreamed(exchange, whole);
}

void Server::Connection::nextRequest() {
  state_ = State::Reading;
  head_seen_ = false;
  exchange_ = 0;
  clock_.reset();
  unread_since_.reset();
  countInput();
  if (in_.size() > 0) {
    begin();
    parse();
  } else {
    armRead();
  }
}

void Server::Connection::write() {
  writing_ = true;
  output_memory_.set(out_.capacity());
  writeWhole(socket_, asio::buffer(out_),
             [self = shared_from_this()](error_code ec) { self->onWritten(ec); });
}

void Server::Connection::onWritten(error_code ec) {
  if (state_ == State::Closed) return;
  writing_ = false;
  release(out_);
  output_memory_.set(0);
  if (ec) return close();
  if (rest_) return passOn();
  onAnswered();
}

void Server::Connection::onAnswered() {
  ended();
  tellStreamed(true);
  if (close_) return linger();
  resting_ = true;
  server_.gate_.onIdle(server_.now(), id_);
  const auto self = shared_from_this();
  nextRequest();
  if (server_.give_) handOn();
}

void Server::Connection::linger() {
  state_ = State::Lingering;
  server_.gate_.onLinger(server_.now(), id_);
  error_code ec;
  socket_.shutdown(asio::socket_base::shutdown_send, ec);
  if (ec) return close();
  in_.consume(in_.size());
  countInput();
  armRead();
}

}  // namespace client_proxy
