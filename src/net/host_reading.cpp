// A connection to a host: what comes back.
#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <string_view>
#include <utility>

#include "host_connection.h"
#include "net/buffers.h"
#include "net/socket_io.h"

namespace client_proxy {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using load_balancer::Result;

constexpr std::size_t kHeadRead = 4 * 1024;
constexpr double kLeastPace = 32 * 1024;  // bytes a second, of an answer that is held

}  // namespace

void Upstream::Connection::armRead() {
  if (reading_ || closed_) return;
  reading_ = true;
  socket_.async_wait(Socket::wait_read, [self = shared_from_this()](error_code ec) { self->onReadable(ec); });
}

void Upstream::Connection::onReadable(error_code ec) {
  reading_ = false;
  if (closed_) return;
  if (!busy_) return ec || stale() ? close() : armRead();
  if (!begun_) return end(Result::NotSent);  // waits to be reusable, and won't be
  if (ec) return broken();
  const std::size_t most = mostToRead();
  if (most == 0) return readOn();
  const std::size_t n = readAvailable(socket_, asio::buffer(up_.received_.data(), most), ec);
  if (ec == asio::error::would_block) return armRead();
  if (ec) return onReadEnd(ec);
  in_.append(up_.received_.data(), n);
  come_ += n;
  moved_ = up_.timers_.clock().now();
  if (answer_begun_ == 0) watchAnswer();
  parse();
}

void Upstream::Connection::onReadEnd(error_code ec) {
  if (ec == asio::error::eof && parser_->says_close && parser_->is_header_done() && !parser_->is_done()) {
    error_code bad;
    parser_->put_eof(bad);  // an answer without a length ends with its connection, if it says so
    if (!bad && parser_->is_done()) return complete();
  }
  broken();
}

void Upstream::Connection::watchAnswer() {
  answer_begun_ = moved_;
  lookAfterAnswer();
}

Time Upstream::Connection::answerDue() const {
  const Time still = up_.limits_.answer_whole;
  const auto earned = static_cast<Time>(static_cast<double>(come_) / kLeastPace * 1e6);
  return std::min(moved_ + still, answer_begun_ + still + earned + memory_wait_);
}

void Upstream::Connection::lookAfterAnswer() {
  up_.timers_.at(answerDue(), [weak = weak_from_this(), turn = turn_] {
    const auto self = weak.lock();
    if (!self || !self->busy_ || self->turn_ != turn || self->stream_ || self->waits_for_memory_) return;
    if (self->up_.timers_.clock().now() < self->answerDue()) return self->lookAfterAnswer();
    self->mayBeLong() ? self->onSlowLongAnswer() : self->spoilt();
  });
}

bool Upstream::Connection::mayBeLong() const {
  if (probe_ || !parser_->is_header_done() || parser_->status != 200 || !written()) return false;
  const auto length = parser_->content_length();
  return !length || *length > kMostBody;
}

void Upstream::Connection::onSlowLongAnswer() {
  slow_long_answer_ = true;
  if (!becomesLong()) return;  // nothing of its body has come yet: the attempt's time limit holds
  beginLong();
  if (busy_ && stream_) readOn();
}

bool Upstream::Connection::becomesLong() const {
  if (stream_ || probe_ || parser_->status != 200 || parser_->body.empty()) return false;
  const auto length = parser_->content_length();
  return parser_->body.size() > kMostBody || (length && *length > kMostBody) ||
         (!length && slow_long_answer_ && !parser_->is_done());
}

void Upstream::Connection::beginLong() {
  const auto length = parser_->content_length();
  stream_ =
      std::make_shared<BodyPipe>(length ? std::optional<std::uint64_t>(*length) : std::nullopt, up_.memory_);
  const auto guarded = [this](void (Connection::*then)()) {
    return [weak = weak_from_this(), turn = turn_, then] {
      const auto self = weak.lock();
      if (self && self->busy_ && self->turn_ == turn) (self.get()->*then)();
    };
  };
  stream_->onRoom(guarded(&Connection::readOn));
  stream_->onAbandoned(guarded(&Connection::abandoned));
  watchLong();
  up_.sink_.onAttemptAnswers(attempt_,
                             {std::exchange(parser_->body, {}), std::move(parser_->content_type), stream_});
}

void Upstream::Connection::countAnswer() {
  in_.trim();
  answer_memory_.set(in_.capacity() + (parser_ ? parser_->body.capacity() : 0));
}

std::size_t Upstream::Connection::mostToRead() {
  if (stream_) return stream_->room();
  if (!parser_->is_header_done()) return kHeadRead;
  return std::min(std::max<std::size_t>(parser_->bodyRoom(), 1), up_.received_.size());
}

bool Upstream::Connection::reserveAnswer() {
  const std::size_t held = answer_memory_.held();
  if (!parser_->is_header_done()) return answer_memory_.reserve(held + kHeadRead);
  if (parser_->bodyRoom() > 0) return true;
  const std::size_t capacity = parser_->nextBodyCapacity();
  if (!answer_memory_.reserve(held - parser_->body.capacity() + capacity)) return false;
  growTo(parser_->body, capacity);
  return true;
}

void Upstream::Connection::readOn() {
  countAnswer();
  waits_for_client_ = stream_ && !stream_->hasRoom();
  if (waits_for_client_) return;
  if (stream_ || reserveAnswer()) return armRead();
  waits_for_memory_ = true;
  memory_wait_since_ = up_.timers_.clock().now();
}

void Upstream::Connection::onMemoryFree() {
  const auto self = shared_from_this();
  if (!std::exchange(waits_for_memory_, false)) return;
  moved_ = up_.timers_.clock().now();
  memory_wait_ += moved_ - memory_wait_since_;
  if (answer_begun_ != 0) lookAfterAnswer();
  readOn();
}

bool Upstream::Connection::beginsLikeAnswer() const {
  static constexpr std::string_view kBegin = "HTTP/1.";
  const std::string_view come(static_cast<const char*>(in_.data().data()),
                              std::min(in_.size(), kBegin.size()));
  return kBegin.substr(0, come.size()) == come;
}

void Upstream::Connection::parse() {
  if (!parser_->got_some() && !beginsLikeAnswer()) return spoilt();
  error_code ec;
  while (!parser_->is_done() && in_.size() > 0) {
    const std::size_t used = parser_->put(in_.data(), ec);
    in_.consume(used);
    if (ec == http::error::need_more && in_.size() <= kMostHead) break;
    if (ec) return spoilt();
    if (!parser_->is_header_done()) continue;
    if (parser_->status / 100 == 1) {
      if (parser_->status == 101 || ++interims_ > kMostInterims) return spoilt();
      parser_.emplace();  // an interim answer; the real one follows
      if (in_.size() > 0 && !beginsLikeAnswer()) return spoilt();
      continue;
    }
    parser_->eager(true);
  }
  if (parser_->is_header_done() && parser_->body.size() > kMostBody) {
    if (parser_->status != 200) return end(resultOf());  // why it failed does not matter that much
    if (probe_ || !written()) return spoilt();
  }
  if (parser_->is_header_done() && written() && becomesLong()) {
    const std::uint64_t turn = turn_;
    beginLong();
    if (!busy_ || turn_ != turn) return;
  }
  if (stream_) stream_->put(std::exchange(parser_->body, {}));
  if (parser_->is_done()) return complete();
  readOn();
}

void Upstream::Connection::complete() {
  // Nobody can serve what has not been sent to them whole; a refusal may come early.
  if (parser_->status == 200 && !written()) return spoilt();
  end(resultOf());
}

Result Upstream::Connection::resultOf() const {
  if (parser_->status == 200) return Result::Ok;
  if ((parser_->status == 503 || parser_->status == 504) && parser_->unprocessed) return Result::Rejected;
  if (!written()) return Result::RequestIncomplete;                   // the host cannot have the last byte
  const bool own = parser_->status == 408 || parser_->status == 429;  // about the host, not the request
  return parser_->status / 100 == 4 && !own ? Result::BadRequest : Result::Error;
}

}  // namespace client_proxy
