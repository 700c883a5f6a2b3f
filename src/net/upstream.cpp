#include "upstream.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace quinceline {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using weldflow::Result;

constexpr std::size_t kReadSmall = 2 * 1024, kReadLarge = 32 * 1024;
constexpr Time kSweep = 500 * kMillisecond;
constexpr Time kLookFirst = 20 * kMillisecond;  // idle longer than this, a connection is looked at before use

}  // namespace

class Upstream::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Upstream& up, std::uint64_t id, std::string uid, const Endpoint& endpoint)
      : up_(up), id_(id), uid_(std::move(uid)), endpoint_(endpoint), socket_(up.io_) {}

  std::uint64_t id() const { return id_; }
  const std::string& uid() const { return uid_; }
  const Endpoint& endpoint() const { return endpoint_; }
  Time idleSince() const { return idle_since_; }

  void startAttempt(AttemptId id, AttemptRequest request) {
    attempt_ = id;
    probe_ = false;
    begin(std::move(request));
  }

  void startProbe(AttemptRequest request) {
    probe_ = true;
    attempt_ = 0;
    begin(std::move(request));
    const std::uint64_t turn = turn_;
    up_.timers_.after(up_.limits_.probe_timeout, [weak = weak_from_this(), turn] {
      const auto self = weak.lock();
      if (self && self->busy_ && self->turn_ == turn) self->end(Result::TimedOut);
    });
  }

  bool streaming() const { return streaming_; }
  void giveUp(Result as) { end(as); }

  void resume() {
    if (!std::exchange(paused_, false)) return;
    armRead();
    watchStall();
  }

  // The host has closed an idle connection, or sent something unasked, and the loop has not come to it yet.
  bool stale() {
    char byte;
    const ssize_t n = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
    up_.forget(*this);
    up_.descriptors_.release();
    up_.connections_.erase(id_);  // the last thing: it may destroy this
  }

 private:
  void begin(AttemptRequest request) {
    request_ = std::move(request);
    busy_ = true;
    ++turn_;
    started_ = up_.timers_.clock().now();
    written_ = false;
    streaming_ = paused_ = false;
    parser_.emplace();
    connected_ ? write() : connect();
  }

  void connect() {
    error_code ec;
    socket_.open(endpoint_.protocol(), ec);
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

  void later(Result result) {
    asio::post(up_.io_, [self = shared_from_this(), turn = turn_, result] {
      if (self->busy_ && self->turn_ == turn) self->end(result);
    });
  }

  void write() {
    armRead();  // a host may answer, or break, before it has the whole request
    const std::array<asio::const_buffer, 2> buffers = {
        asio::buffer(request_.head),
        request_.body ? asio::buffer(*request_.body) : asio::const_buffer{}};
    asio::async_write(socket_, buffers, [self = shared_from_this(), turn = turn_](error_code ec, std::size_t) {
      if (self->closed_ || self->turn_ != turn) return;
      self->onWritten(ec);
    });
  }

  void onWritten(error_code ec) {
    if (!busy_) return;
    request_ = {};
    if (!ec) {
      written_ = true;
      if (parser_->is_done()) complete();
      return;
    }
    // Not all of it reached the kernel, so the host cannot have the last byte. What it said before it broke
    // the connection may still be waiting to be read.
    write_broken_ = true;
    if (parser_->is_done()) return complete();
    if (!reading_) end(Result::ConnectFailed);
  }

  void armRead() {
    if (reading_ || closed_) return;
    reading_ = true;
    const bool large = busy_ && parser_ && parser_->is_header_done();
    socket_.async_read_some(in_.space(large ? kReadLarge : kReadSmall),
                            [self = shared_from_this()](error_code ec, std::size_t n) { self->onRead(ec, n); });
  }

  void onRead(error_code ec, std::size_t bytes) {
    reading_ = false;
    if (closed_) return;
    if (!busy_) return close();  // idle: the host has closed it, or says something that nobody asked
    if (ec) return onReadEnd(ec);
    in_.commit(bytes);
    moved_ = up_.timers_.clock().now();
    parse();
  }

  void onReadEnd(error_code ec) {
    if (ec == asio::error::eof && parser_->got_some() && !parser_->is_done()) {
      error_code bad;
      parser_->put_eof(bad);  // an answer without a length ends with its connection
      if (!bad && parser_->is_done()) {
        must_close_ = true;
        return answered();
      }
    }
    broken();
  }

  // A broken or malformed answer: it may have run once the host can have the whole request.
  void broken() { end(written_ ? Result::Reset : Result::ConnectFailed); }

  void parse() {
    error_code ec;
    while (!parser_->is_done()) {
      if (in_.size() == 0) break;
      const std::size_t used = parser_->put(in_.data(), ec);
      in_.consume(used);
      if (ec == http::error::need_more && in_.size() <= kMostHead + kReadLarge) break;
      if (ec) return broken();
      if (parser_->is_header_done() && parser_->status / 100 == 1) {
        if (parser_->status == 101) return broken();
        parser_.emplace();  // an interim answer; the real one follows
        continue;
      }
      if (parser_->is_header_done() && !head_seen_) {
        head_seen_ = true;
        parser_->eager(true);
        const auto length = parser_->content_length();
        if (parser_->status == 200 && !probe_ && length && *length > kSmallAnswer) {
          if (!beginStream(*length)) return;
        }
      }
    }
    if (closed_ || !busy_) return;
    if (!streaming_ && parser_->body.size() > kSmallAnswer) {
      if (parser_->status != 200 || probe_) {
        must_close_ = true;  // enough is known; the rest of its text is of no use
        return complete();
      }
      if (!beginStream(std::nullopt)) return;
    }
    if (streaming_ && !parser_->body.empty() && !passOn()) return;
    if (parser_->is_done()) return answered();
    if (!paused_) armRead();
  }

  // False: the attempt was ended from within.
  bool beginStream(std::optional<std::uint64_t> length) {
    streaming_ = true;
    const std::uint64_t turn = turn_;
    up_.sink_.onAnswerBegun(attempt_, length, parser_->content_type);
    if (closed_ || turn_ != turn) return false;
    watchStall();
    return true;
  }

  bool passOn() {
    const std::uint64_t turn = turn_;
    const bool more = up_.sink_.onAnswerPiece(attempt_, std::exchange(parser_->body, {}));
    if (closed_ || turn_ != turn) return false;
    if (!more) paused_ = true;
    return true;
  }

  void answered() {
    if (closed_ || !busy_) return;
    if (streaming_ && !parser_->body.empty() && !passOn()) return;
    complete();
  }

  void complete() {
    if (parser_->status != 200) {
      // It has refused before the request was whole: the rest of it would go nowhere.
      if (!written_) must_close_ = true;
    } else if (!written_ && !write_broken_) {
      return;  // 200, but the request is still going out: onWritten comes back here
    }
    if (!written_) must_close_ = true;
    end(resultOf());
  }

  Result resultOf() const {
    if (parser_->status == 200) return Result::Ok;
    if ((parser_->status == 503 || parser_->status == 504) && parser_->unprocessed) return Result::Rejected;
    return Result::Error;
  }

  void watchStall() {
    moved_ = up_.timers_.clock().now();
    lookAfter(turn_);
  }

  void lookAfter(std::uint64_t turn) {
    if (std::exchange(looked_after_, true)) return;
    up_.timers_.after(up_.limits_.stream_stall / 4, [weak = weak_from_this(), turn] {
      const auto self = weak.lock();
      if (!self) return;
      self->looked_after_ = false;
      if (!self->busy_ || self->turn_ != turn || !self->streaming_ || self->paused_) return;
      if (self->up_.timers_.clock().now() - self->moved_ > self->up_.limits_.stream_stall) return self->broken();
      self->lookAfter(turn);
    });
  }

  // The one place where an attempt or probe ends.
  void end(Result result) {
    if (!busy_) return;
    busy_ = false;
    AttemptEnd report;
    report.result = result;
    bool reusable = false;
    if (head_seen_ && parser_->is_done()) {
      reusable = written_ && !must_close_ && parser_->keep_alive() && in_.size() == 0 &&
                 (result == Result::Ok || result == Result::Rejected || result == Result::Error);
    }
    if (head_seen_) {
      report.load = probe_ && parser_->load.empty() ? parser_->body : std::move(parser_->load);
      report.body = std::move(parser_->body);
      report.content_type = std::move(parser_->content_type);
    }
    const bool probe = std::exchange(probe_, false);
    const AttemptId attempt = std::exchange(attempt_, 0);
    const Time latency = up_.timers_.clock().now() - started_;
    const bool ok = result == Result::Ok;
    const std::string uid = uid_;
    Upstream& up = up_;
    head_seen_ = streaming_ = paused_ = must_close_ = write_broken_ = false;
    parser_.reset();
    request_ = {};
    const auto self = shared_from_this();
    if (!probe) up.attempts_.erase(attempt);
    // The connection is idle or closed before anyone hears of it: a next attempt may want it at once.
    if (reusable) {
      idle_since_ = up.timers_.clock().now();
      in_.shrink();
      armRead();
      up.keep(*this);
    } else {
      close();
    }
    if (probe) {
      up.sink_.onProbeEnd(uid, ok, latency, report.load);
    } else {
      up.sink_.onAttemptEnd(attempt, std::move(report));
    }
  }

  Upstream& up_;
  const std::uint64_t id_;
  const std::string uid_;
  const Endpoint endpoint_;
  asio::ip::tcp::socket socket_;
  ReadBuffer in_;
  std::optional<ResponseParser> parser_;
  AttemptRequest request_;
  AttemptId attempt_ = 0;
  std::uint64_t turn_ = 0;  // attempts and probes so far: tells late callbacks of earlier ones
  Time started_ = 0, moved_ = 0, idle_since_ = 0;
  bool connected_ = false, busy_ = false, probe_ = false, closed_ = false;
  bool written_ = false;       // all of the request is with the kernel: from here on it may run
  bool write_broken_ = false;  // it never will be
  bool head_seen_ = false, streaming_ = false, paused_ = false, must_close_ = false;
  bool reading_ = false, looked_after_ = false;
};

Upstream::Upstream(asio::io_context& io, Timers& timers, Descriptors& descriptors, AttemptSink& sink,
                   Limits limits)
    : io_(io), timers_(timers), descriptors_(descriptors), sink_(sink), limits_(limits) {
  sweep();
}

Upstream::~Upstream() {
  attempts_.clear();
  while (!connections_.empty()) {
    const std::shared_ptr<Connection> connection = connections_.begin()->second;
    connection->close();
  }
}

// Well before the host does: a request that crosses with its closing would end as a reset, which an unsafe
// request does not survive.
Time Upstream::idleLimit() const { return std::max(limits_.idle * 7 / 10, Time{1}); }

void Upstream::setHost(const std::string& uid, const Endpoint& endpoint) {
  Pool& pool = pools_[uid];
  if (pool.endpoint != endpoint) closeIdle(pool);
  pool.endpoint = endpoint;
}

void Upstream::removeHost(const std::string& uid) {
  const auto it = pools_.find(uid);
  if (it == pools_.end()) return;
  closeIdle(it->second);
  pools_.erase(uid);
}

bool Upstream::knows(std::string_view uid) const { return pools_.find(uid) != pools_.end(); }

void Upstream::start(AttemptId id, std::string_view uid, AttemptRequest request) {
  const auto it = pools_.find(uid);
  Connection* connection = it == pools_.end() ? nullptr : takeIdle(it->second);
  if (connection == nullptr && it != pools_.end()) connection = open(it->first, it->second.endpoint);
  if (connection == nullptr) return sink_.onAttemptEnd(id, {});
  attempts_.emplace(id, connection);
  connection->startAttempt(id, std::move(request));
}

// A connection of its own: one that is kept may be dead without a sign of it (a machine that vanished), and
// the question is whether the host can be reached now.
void Upstream::probe(std::string_view uid) {
  const auto it = pools_.find(uid);
  Connection* connection = it == pools_.end() ? nullptr : open(it->first, it->second.endpoint);
  if (connection == nullptr) return sink_.onProbeEnd(std::string(uid), false, 0, {});
  AttemptRequest request;
  request.head = std::string("GET ") + (limits_.probe_load ? "/load" : "/healthz") +
                 " HTTP/1.1\r\nHost: api.internal\r\n\r\n";
  connection->startProbe(std::move(request));
}

bool Upstream::giveUp(AttemptId id, Result as) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) return true;
  if (it->second->streaming()) return false;
  it->second->giveUp(as);
  return true;
}

void Upstream::abandon(AttemptId id, Result as) {
  const auto it = attempts_.find(id);
  if (it != attempts_.end()) it->second->giveUp(as);
}

void Upstream::resume(AttemptId id) {
  const auto it = attempts_.find(id);
  if (it != attempts_.end()) it->second->resume();
}

Upstream::Connection* Upstream::takeIdle(Pool& pool) {
  const Time now = timers_.clock().now();
  while (!pool.idle.empty()) {
    Connection* const connection = pool.idle.back();
    const Time quiet = now - connection->idleSince();
    // The sweep may be late after a stall, and the host's end may lie unread in the socket.
    if (quiet > idleLimit() || (quiet > kLookFirst && connection->stale())) {
      connection->close();
      continue;
    }
    pool.idle.pop_back();
    return connection;
  }
  return nullptr;
}

Upstream::Connection* Upstream::open(const std::string& uid, const Endpoint& endpoint) {
  if (!descriptors_.take(limits_.spare_descriptors)) return nullptr;
  const std::uint64_t id = next_connection_++;
  const auto connection = std::make_shared<Connection>(*this, id, uid, endpoint);
  connections_.emplace(id, connection);
  return connection.get();
}

void Upstream::keep(Connection& connection) {
  const auto it = pools_.find(connection.uid());
  // The host has moved or gone meanwhile.
  if (it == pools_.end() || it->second.endpoint != connection.endpoint()) return connection.close();
  it->second.idle.push_back(&connection);
}

void Upstream::forget(Connection& connection) {
  const auto it = pools_.find(connection.uid());
  if (it != pools_.end()) std::erase(it->second.idle, &connection);
}

void Upstream::closeIdle(Pool& pool) {
  while (!pool.idle.empty()) pool.idle.back()->close();
}

bool Upstream::closeOneIdle() {
  Connection* oldest = nullptr;
  for (auto& [uid, pool] : pools_) {
    if (pool.idle.empty()) continue;
    if (oldest == nullptr || pool.idle.front()->idleSince() < oldest->idleSince()) oldest = pool.idle.front();
  }
  if (oldest == nullptr) return false;
  oldest->close();
  return true;
}

void Upstream::sweep() {
  const Time limit = timers_.clock().now() - idleLimit();
  for (auto& [uid, pool] : pools_) {
    while (!pool.idle.empty() && pool.idle.front()->idleSince() < limit) pool.idle.front()->close();
  }
  timers_.after(kSweep, [this] { sweep(); });
}

}  // namespace quinceline
