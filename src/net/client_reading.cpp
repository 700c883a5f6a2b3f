// A client's connection: its requests, as they come.
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "client_connection.h"
#include "net/buffers.h"
#include "net/socket_io.h"

namespace client_proxy {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kReadAhead = 64 * 1024;  // of further requests that come before the answer
constexpr std::size_t kHeadRead = 1024;        // at a time
// Bytes that the system may hold between a client's write and our read: 6 MB of ours and 4 MB of the client's
// side, by Linux's default limits.
constexpr std::uint64_t kMostUnread = std::uint64_t{10} * 1024 * 1024;
constexpr Time kLookForEnd = 20 * kMillisecond;  // while nothing is read of what a waiting client sends

int statusOf(error_code ec) {
  if (ec == http::error::body_limit) return 413;
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow) return 431;
  return 400;
}

// How long the bytes read last have waited in the kernel. A process that was not scheduled, or is behind with
// its work, would otherwise give a client more time than it has.
Time ageOfInput(int fd) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
  return static_cast<Time>(info.tcpi_last_data_recv) * kMillisecond;
}

// The other side has ended its sending, or all of it, whatever of what it sent is still unread.
bool hungUp(int fd) {
  pollfd p{.fd = fd, .events = POLLRDHUP, .revents = 0};
  return ::poll(&p, 1, 0) == 1 && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace

void Server::Connection::onMemoryFree() {
  const auto self = shared_from_this();
  if (!std::exchange(waits_for_memory_, false) || state_ != State::Reading) return;
  clock_->resume(server_.now());
  server_.gate_.extend(id_, clock_->due());
  readOn();
}

void Server::Connection::begin() {
  resting_ = false;
  parser_ = std::make_unique<RequestParser>();
  server_.gate_.onFirstByte(server_.now(), id_);
}

void Server::Connection::armRead() {
  if (reading_ || state_ == State::Closed) return;
  reading_ = true;
  socket_.async_wait(Socket::wait_read, [self = shared_from_this()](error_code ec) { self->onReadable(ec); });
}

void Server::Connection::onReadable(error_code ec) {
  reading_ = false;
  if (state_ == State::Closed) return;
  if (ec) return onReadEnd(ec);
  if (state_ == State::Lingering || discards_) return discard();
  const std::size_t most = mostToRead();
  if (most == 0) return pauseUpload();
  const std::size_t n = readAvailable(socket_, asio::buffer(server_.received_.data(), most), ec);
  if (ec == asio::error::would_block) return armRead();
  if (ec) return onReadEnd(ec);
  in_.append(server_.received_.data(), n);
  drained_ = n < most;
  if (state_ == State::Reading) {
    if (resting_) begin();
    if (clock_) {
      clock_->onBytes(server_.now(), n);
      server_.gate_.extend(id_, clock_->due());
    }
    return parse();
  }
  awaitMoreOrEnd();
}

// Further requests before this one's answer wait, up to a bound. More is read all the same, since the end of
// the connection lies behind it, and forgotten: the connection ends with the answer.
void Server::Connection::awaitMoreOrEnd() {
  countInput();
  if (in_.size() >= kReadAhead || !input_memory_.tryReserve(inputMemory() + kHeadRead)) {
    discards_ = close_ = true;
    in_.consume(in_.size());
    countInput();
  }
  armRead();
}

std::size_t Server::Connection::mostToRead() {
  if (state_ != State::Reading || !head_seen_) return kHeadRead;
  if (uploading_) return pipe_->room();
  return std::min(std::max<std::size_t>(parser_->bodyRoom(), 1), server_.received_.size());
}

void Server::Connection::countInput() {
  in_.trim();
  input_memory_.set(inputMemory());
}

void Server::Connection::lookForEnd() {
  if (reading_ || !(waits_for_memory_ || uploadPaused())) return;
  if (hungUp(socket_.native_handle())) return onClientLeft();
  if (std::exchange(looking_, true)) return;
  server_.timers_.after(kLookForEnd, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->looking_ = false;
    self->lookForEnd();
  });
}

void Server::Connection::onClientLeft() {
  abandonUpload();
  if (state_ != State::Closed) refuse(502);
}

void Server::Connection::onReadEnd(error_code ec) {
  switch (state_) {
    case State::Waiting: {
      const ExchangeId exchange = exchange_;
      server_.exchanges_.erase(exchange);
      close_ = true;
      server_.sink_.onClientGone(exchange);
      if (state_ == State::Closed) return;
      // A client that ended only its sending still hears that nothing came of it.
      if (ec == asio::error::eof)
        return answer({.status = 502, .body = {}, .content_type = {}, .retry_after = {}});
      return close();
    }
    case State::Answering:
      close_ = true;
      if (ec != asio::error::eof) close();
      return;
    default:
      abandonUpload();
      return close();
  }
}

void Server::Connection::abandonUpload() {
  if (!std::exchange(uploading_, false)) return;
  const ExchangeId exchange = exchange_;
  server_.exchanges_.erase(exchange);
  std::exchange(pipe_, nullptr)->breakOff();
  server_.sink_.onClientGone(exchange);
}

void Server::Connection::parse() {
  error_code ec;
  while (!parser_->is_done()) {
    if (in_.size() == 0) return readOn();
    const std::size_t used = parser_->put(in_.data(), ec);
    in_.consume(used);
    if (ec == http::error::need_more) {
      if (in_.size() <= kMostHead) return readOn();
      ec = http::error::buffer_overflow;
    }
    if (ec) {
      abandonUpload();
      return refuse(statusOf(ec));
    }
    if (parser_->is_header_done() && !head_seen_ && !acceptHead()) return;
    if (!uploading_ && parser_->body.size() > kMostBody) beginLong();
    if (state_ != State::Reading) return;  // answered already
    if (!uploading_) continue;
    // As in complete(): then the host never gets all of it.
    if (parser_->is_done() && hungUp(socket_.native_handle())) return onClientLeft();
    pipe_->put(std::exchange(parser_->body, {}));
    if (state_ != State::Reading) return;
  }
  uploading_ ? completeLong() : complete();
}

bool Server::Connection::acceptHead() {
  head_seen_ = true;
  old_version_ = parser_->head.old_version;
  close_ = !parser_->keep_alive();
  if (std::optional<Answer> early = server_.sink_.onHead(parser_->head, !server_.gate_.refuses(id_))) {
    if (!parser_->is_done()) close_ = true;  // its body is not waited for
    answer(std::move(*early));
    return false;
  }
  if (parser_->is_done()) return true;
  clock_.emplace(server_.now());
  server_.gate_.extend(id_, clock_->due());
  client_wait_ = server_.sink_.clientWait(parser_->head);
  parser_->eager(true);
  if (parser_->head.expects_continue && !old_version_ && in_.size() == 0) {
    error_code ignored;  // a few bytes on a connection that has nothing else to send
    writeUntilBlocked(socket_, asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
  }
  return true;
}

void Server::Connection::readOn() {
  if (std::exchange(drained_, false)) unread_since_.reset();
  countInput();
  if (uploading_) return pipe_->hasRoom() ? armRead() : pauseUpload();
  if (!head_seen_) {
    if (input_memory_.tryReserve(inputMemory() + kHeadRead)) return armRead();
    refuse(503);  // how long its client waits is not known yet
    cause_ = RejectionReason::BodyMemory;
    return;
  }
  if (parser_->bodyRoom() == 0) {
    const std::size_t capacity = parser_->nextBodyCapacity();
    if (!input_memory_.reserve(inputMemory() - parser_->body.capacity() + capacity)) return awaitMemory();
    growTo(parser_->body, capacity);
  }
  armRead();
}

// Backpressure: the kernel's buffer fills, then the client's.
void Server::Connection::awaitMemory() {
  waits_for_memory_ = true;
  const Time due = pauseReading();
  server_.gate_.extend(id_, std::min(server_.now() + server_.limits_.connections.request, due));
  lookForEnd();
}

Time Server::Connection::pauseReading() {
  clock_->pause(server_.now());
  const auto left = parser_->content_length_remaining();
  if (left && *left > kMostUnread) return kNever;
  if (!unread_since_) unread_since_ = server_.now() - ageOfInput(socket_.native_handle());
  return *unread_since_ + client_wait_;
}

// The host's side is slow: not the client's fault. Its client's time runs all the same if the last byte may
// be among those that are not read.
void Server::Connection::pauseUpload() {
  const Time due = pauseReading();
  pipe_->pausedSince(server_.now());
  server_.gate_.extend(id_, due == kNever ? 0 : due);
  lookForEnd();
}

void Server::Connection::uploadMayGoOn() {
  if (!uploading_ || state_ != State::Reading) return;
  clock_->resume(server_.now());
  pipe_->pausedSince({});
  server_.gate_.extend(id_, clock_->due());
  armRead();
}

void Server::Connection::beginLong() {
  if (hungUp(socket_.native_handle())) return refuse(503);
  const auto length = parser_->content_length();
  pipe_ = std::make_shared<BodyPipe>(length ? std::optional<std::uint64_t>(*length) : std::nullopt,
                                     server_.memory_, MemoryUse::Request, BodyPipe::kUploadReadAhead);
  pipe_->onRoom([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->uploadMayGoOn();
  });
  uploading_ = true;
  ClientRequest request = takeRequest();
  request.rest = pipe_;
  exchange_ = server_.next_exchange_++;
  server_.exchanges_.emplace(exchange_, this);
  server_.sink_.onRequest(exchange_, std::move(request));
}

void Server::Connection::completeLong() {
  uploading_ = false;
  clock_.reset();
  state_ = State::Waiting;
  taken_ = true;
  ++server_.open_requests_;
  server_.gate_.onRequest(id_);
  const Time received = lastByteAt();
  const ExchangeId exchange = exchange_;
  parser_.reset();
  countInput();
  armRead();
  const auto pipe = pipe_;
  pipe->finish();
  if (state_ == State::Waiting) server_.sink_.onUploaded(exchange, received);
}

// When the client wrote it, at the earliest.
Time Server::Connection::lastByteAt() {
  const Time arrived = server_.now() - ageOfInput(socket_.native_handle());
  return unread_since_ ? std::min(*unread_since_, arrived) : arrived;
}

ClientRequest Server::Connection::takeRequest() {
  ClientRequest request;
  request.received = lastByteAt();
  request.memory = std::make_shared<MemoryShare>(server_.memory_, MemoryUse::Request);
  request.memory->set(parser_->memory());
  request.head = std::move(parser_->head);
  if (clock_) {
    request.body = std::make_shared<const std::string>(std::move(parser_->body));
    release(parser_->body);
  }
  countInput();
  return request;
}

void Server::Connection::complete() {
  ClientRequest request = takeRequest();
  clock_.reset();
  state_ = State::Waiting;
  taken_ = true;
  ++server_.open_requests_;
  server_.gate_.onRequest(id_);  // its deadline is the sink's to keep
  parser_.reset();
  countInput();
  exchange_ = server_.next_exchange_++;
  server_.exchanges_.emplace(exchange_, this);
  // It may have left while its request stood in a queue of the system's: then nothing is sent for it.
  if (hungUp(socket_.native_handle())) {
    server_.exchanges_.erase(exchange_);
    return refuse(503);
  }
  awaitMoreOrEnd();  // to see a client leave while it waits
  server_.sink_.onRequest(exchange_, std::move(request));
}

void Server::Connection::refuse(int status) {
  close_ = true;
  answer({.status = status, .body = {}, .content_type = {}, .retry_after = {}});
}

void Server::Connection::discard() {
  error_code ec;
  readAvailable(socket_, asio::buffer(server_.received_), ec);
  if (ec && ec != asio::error::would_block) return onReadEnd(ec);
  armRead();
}

}  // namespace client_proxy
