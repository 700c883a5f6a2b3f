#include "net/upstream.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace quinceline {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using weldflow::Result;

constexpr std::size_t kRead = 4 * 1024, kLongRead = 16 * 1024;
constexpr Time kLook = 250 * kMillisecond;  // between two looks whether a long body moves
constexpr double kLeastPace = 32 * 1024;    // bytes a second, of an answer that is held
constexpr Time kSweep = 500 * kMillisecond;
constexpr double kReuseWeight = 0.1;       // the last ten or so uses of kept connections count
constexpr double kMostBrokenReuse = 0.04;  // one break among them: about nine good ones are needed again

}  // namespace

class Upstream::Connection : public std::enable_shared_from_this<Connection> {
  using Socket = asio::ip::tcp::socket;
  static constexpr int kMostInterims = 16;

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

  void giveUp(Result as) { end(as); }
  bool answering() const { return busy_ && parser_->is_header_done() && parser_->status == 200; }

  // An idle connection that the host has closed, or on which something lies that nobody asked for (a second
  // copy of the last answer, say): the next request must not take that for its answer. Nothing is read while
  // a connection is idle, so whatever has come is still to be seen here.
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
    up_.descriptors_.release(Side::Hosts);
    up_.connections_.erase(id_);  // the last thing: it may destroy this
  }

 private:
  void begin(AttemptRequest request) {
    request_ = std::move(request);
    busy_ = true;
    up_.countBusy(uid_, true);
    ++turn_;
    started_ = up_.timers_.clock().now();
    sent_ = 0;
    answer_begun_ = interims_ = 0;
    come_ = 0;
    rest_done_ = waits_for_client_ = false;
    parser_.emplace();
    if (request_.rest) watchLong();
    connected_ ? write() : connect();
  }

  void connect() {
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
      if (!self->mayBegin()) return self->end(Result::NotSent);
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

  // Asked when the connection has come up, which may have taken as long as it is given.
  bool mayBegin() const {
    const auto it = up_.pools_.find(uid_);
    if (it == up_.pools_.end() || it->second.endpoint != endpoint_) return false;  // gone, or elsewhere now
    return probe_ || up_.sink_.mayBegin(attempt_);
  }

  // ---- writing ----

  std::size_t total() const { return request_.head.size() + (request_.body ? request_.body->size() : 0); }
  // All of the request is with the kernel: from here on it may run.
  bool written() const { return sent_ == total() && (!request_.rest || rest_done_); }

  std::array<asio::const_buffer, 2> unsent() const {
    const asio::const_buffer head = asio::buffer(request_.head);
    const asio::const_buffer body = request_.body ? asio::buffer(*request_.body) : asio::const_buffer{};
    return {head + sent_, body + (sent_ > head.size() ? sent_ - head.size() : 0)};
  }

  // The kernel is handed the bytes here and not by a composed operation, whose count comes with its handler:
  // a break that is noticed between the two would pass a request that may run for one that never can.
  void write() {
    if (written()) return;
    error_code ec;
    do {
      while (!ec && sent_ < total()) sent_ += socket_.write_some(unsent(), ec);
    } while (!ec && request_.rest && !rest_done_ && refill());
    moved_ = up_.timers_.clock().now();
    if (written() && attempt_ != 0) up_.sink_.onAttemptWritten(attempt_);
    if (ec == asio::error::would_block) {
      socket_.async_wait(Socket::wait_write, [self = shared_from_this(), turn = turn_](error_code e) {
        if (!e && self->busy_ && self->turn_ == turn) self->write();
      });
    }
    // Where the writing broke, what the host said before it may still wait to be read; then its end follows.
    armRead();
  }

  // The next piece of a long body. False: there is none now.
  bool refill() {
    BodyPipe& rest = *request_.rest;
    const std::string piece = rest.take();
    waits_for_client_ = piece.empty() && rest.end() == BodyPipe::End::Open;
    if (waits_for_client_) {
      rest.onMore([weak = weak_from_this(), turn = turn_] {
        const auto self = weak.lock();
        if (self && self->busy_ && self->turn_ == turn && self->waits_for_client_) self->write();
      });
      return false;
    }
    if (rest.end() == BodyPipe::End::Broken) {
      later(Result::CutShort);  // its client has gone: the host never gets all of it
      return false;
    }
    const bool chunked = !rest.length();
    request_.body.reset();
    request_.head.clear();
    sent_ = 0;
    if (!piece.empty()) {
      if (chunked) request_.head += "\r\n" + chunkLine(piece.size());
      request_.head += piece;
    }
    rest_done_ = rest.end() == BodyPipe::End::Whole;
    if (rest_done_ && chunked) request_.head += "\r\n0\r\n\r\n";
    return true;
  }

  // A long body must move, unless it is the client that does not: it may neither send nor take.
  void watchLong() {
    moved_ = up_.timers_.clock().now();
    lookAfterLong();
  }
  void lookAfterLong() {
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

  // ---- reading ----

  void armRead() {
    if (reading_ || closed_) return;
    reading_ = true;
    socket_.async_wait(Socket::wait_read,
                       [self = shared_from_this()](error_code ec) { self->onReadable(ec); });
  }

  void onReadable(error_code ec) {
    reading_ = false;
    if (closed_) return;
    if (!busy_) return close();  // idle: the host has closed it, or says something that nobody asked
    if (ec) return broken();
    const std::size_t n = socket_.read_some(in_.space(stream_ ? kLongRead : kRead), ec);
    if (ec == asio::error::would_block) return armRead();
    if (ec) return onReadEnd(ec);
    in_.commit(n);
    come_ += n;
    moved_ = up_.timers_.clock().now();
    if (answer_begun_ == 0) watchAnswer();
    parse();
  }

  void onReadEnd(error_code ec) {
    if (ec == asio::error::eof && parser_->says_close && parser_->is_header_done() && !parser_->is_done()) {
      error_code bad;
      parser_->put_eof(bad);  // an answer without a length ends with its connection, if it says so
      if (!bad && parser_->is_done()) return complete();
    }
    broken();
  }

  // It may have run once the host can have the whole request.
  void broken() { end(written() ? Result::Reset : Result::CutShort); }

  // What came is no answer to this request. Guards against noise, heads that can't be read or don't end,
  // lengths that contradict one another or exceed what the protocol has, and 1xx without end. It should catch
  // whatever else a host may say out of turn; it would harm if hosts sent answers beyond the protocol's 64
  // KiB.
  void spoilt() { end(written() ? Result::Spoilt : Result::CutShort); }

  // An answer that has begun must come to its end: it may not stand still, nor come slower than a least pace,
  // so that an endless trickle is no way round it. Guards against lengths that promise more than comes; it
  // would harm hosts that write an answer while they work on it.
  void watchAnswer() {
    answer_begun_ = moved_;
    lookAfterAnswer();
  }
  Time answerDue() const {
    const Time still = up_.limits_.answer_whole;
    const auto earned = static_cast<Time>(static_cast<double>(come_) / kLeastPace * 1e6);
    return std::min(moved_ + still, answer_begun_ + still + earned);
  }
  void lookAfterAnswer() {
    up_.timers_.at(answerDue(), [weak = weak_from_this(), turn = turn_] {
      const auto self = weak.lock();
      if (!self || !self->busy_ || self->turn_ != turn || self->stream_) return;
      if (self->up_.timers_.clock().now() >= self->answerDue()) return self->spoilt();
      self->lookAfterAnswer();
    });
  }

  // More than is held, or the head says that there will be: it belongs to the client from here on.
  bool becomesLong() const {
    if (stream_ || probe_ || parser_->status != 200 || parser_->body.empty()) return false;
    const auto length = parser_->content_length();
    return parser_->body.size() > kMostBody || (length && *length > kMostBody);
  }

  void beginLong() {
    const auto length = parser_->content_length();
    stream_ = std::make_shared<BodyPipe>(length ? std::optional<std::uint64_t>(*length) : std::nullopt);
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
  void abandoned() { later(Result::Cancelled); }

  void readOn() {
    waits_for_client_ = stream_ && !stream_->hasRoom();
    if (!waits_for_client_) armRead();
  }

  // So far as it has come, what a head of HTTP/1 begins with: noise need not hold a line's end.
  bool beginsLikeAnswer() const {
    static constexpr std::string_view kBegin = "HTTP/1.";
    const std::string_view come(static_cast<const char*>(in_.data().data()),
                                std::min(in_.size(), kBegin.size()));
    return kBegin.substr(0, come.size()) == come;
  }

  void parse() {
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

  void complete() {
    // Nobody can serve what has not been sent to them whole; a refusal may come early.
    if (parser_->status == 200 && !written()) return spoilt();
    end(resultOf());
  }

  Result resultOf() const {
    if (parser_->status == 200) return Result::Ok;
    if ((parser_->status == 503 || parser_->status == 504) && parser_->unprocessed) return Result::Rejected;
    if (!written()) return Result::CutShort;                            // the host cannot have the last byte
    const bool own = parser_->status == 408 || parser_->status == 429;  // about the host, not the request
    return parser_->status / 100 == 4 && !own ? Result::BadRequest : Result::Error;
  }

  // The one place where an attempt or probe ends.
  void end(Result result) {
    if (!busy_) return;
    busy_ = false;
    up_.countBusy(uid_, false);
    AttemptEnd report;
    report.result = result;
    report.begun = answer_begun_;
    const bool whole = parser_->is_done() && result != Result::Spoilt;
    if (const auto stream = std::exchange(stream_, nullptr)) {
      whole&& result == Result::Ok ? stream->finish() : stream->breakOff();
    }
    // Bytes behind a good answer take nothing from it, but the connection is out of step.
    const bool unused = result == Result::NotSent && connected_ && sent_ == 0;
    const bool reusable = unused || (whole && written() && parser_->keep_alive() && in_.size() == 0);
    if (whole) {
      report.load = probe_ && parser_->load.empty() ? parser_->body : std::move(parser_->load);
      if (result == Result::Rejected) report.term = std::move(parser_->term);
      report.body = std::move(parser_->body);
      report.content_type = std::move(parser_->content_type);
    }
    if (turn_ > 1 && (whole || result == Result::Reset || result == Result::CutShort)) {
      up_.noteReuse(uid_, !whole && !parser_->got_some());
    }
    const bool probe = std::exchange(probe_, false);
    const AttemptId attempt = std::exchange(attempt_, 0);
    const Time latency = up_.timers_.clock().now() - started_;
    const bool ok = result == Result::Ok;
    const std::string uid = uid_;
    Upstream& up = up_;
    parser_.reset();
    request_ = {};
    sent_ = 0;
    const auto self = shared_from_this();
    if (!probe) up.attempts_.erase(attempt);
    // The connection is idle or closed before anyone hears of it: a next attempt may want it at once.
    if (reusable) {
      idle_since_ = up.timers_.clock().now();
      in_.release();
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
  Socket socket_;
  ReadBuffer in_;
  std::optional<ResponseParser> parser_;
  AttemptRequest request_;
  std::shared_ptr<BodyPipe> stream_;  // of a long answer that is coming
  std::size_t sent_ = 0;    // bytes of the request, of a long one of this piece, that the kernel has taken
  std::uint64_t come_ = 0;  // bytes of the answer
  Time moved_ = 0;          // when a byte went or came last
  AttemptId attempt_ = 0;
  std::uint64_t turn_ = 0;  // attempts and probes so far: tells late callbacks of earlier ones
  Time started_ = 0, answer_begun_ = 0, idle_since_ = 0;
  int interims_ = 0;
  bool rest_done_ = false;         // the last piece of a long request is in request_
  bool waits_for_client_ = false;  // to send more of its request, or to take more of its answer
  bool connected_ = false, busy_ = false, probe_ = false, closed_ = false, reading_ = false;
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

void Upstream::closeIdleTo(std::string_view uid) {
  const auto it = pools_.find(uid);
  if (it != pools_.end()) closeIdle(it->second);
}

bool Upstream::knows(std::string_view uid) const { return pools_.find(uid) != pools_.end(); }

void Upstream::start(AttemptId id, std::string_view uid, AttemptRequest request) {
  const auto it = pools_.find(uid);
  const bool fresh = request.unrepeatable && it != pools_.end() && it->second.broken_reuse > kMostBrokenReuse;
  Connection* connection = it == pools_.end() || fresh ? nullptr : takeIdle(it->second);
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

void Upstream::giveUp(AttemptId id, Result as) {
  const auto it = attempts_.find(id);
  if (it != attempts_.end()) it->second->giveUp(as);
}

bool Upstream::answering(AttemptId id) const {
  const auto it = attempts_.find(id);
  return it != attempts_.end() && it->second->answering();
}

Upstream::Connection* Upstream::takeIdle(Pool& pool) {
  const Time now = timers_.clock().now();
  while (!pool.idle.empty()) {
    Connection* const connection = pool.idle.back();
    // The sweep may be late after a stall, and the host's end may lie unread in the socket.
    if (now - connection->idleSince() > idleLimit() || connection->stale()) {
      connection->close();
      continue;
    }
    pool.idle.pop_back();
    return connection;
  }
  return nullptr;
}

// Guards against hosts that end or reset kept connections while the next request is on its way: what can't be
// repeated then fails. It should catch whatever else makes a host's kept connections unsafe, and costs a
// handshake for a few requests after each such break; where breaks come from the network, that is spent for
// nothing.
void Upstream::noteReuse(const std::string& uid, bool broke) {
  const auto it = pools_.find(uid);
  if (it != pools_.end())
    it->second.broken_reuse += kReuseWeight * ((broke ? 1 : 0) - it->second.broken_reuse);
}

Upstream::Connection* Upstream::open(const std::string& uid, const Endpoint& endpoint) {
  if (!descriptors_.take(Side::Hosts)) return nullptr;
  const std::uint64_t id = next_connection_++;
  const auto connection = std::make_shared<Connection>(*this, id, uid, endpoint);
  connections_.emplace(id, connection);
  return connection.get();
}

void Upstream::keep(Connection& connection) {
  const auto it = pools_.find(connection.uid());
  // The host has moved or gone meanwhile.
  if (!keeps_ || it == pools_.end() || it->second.endpoint != connection.endpoint())
    return connection.close();
  it->second.idle.push_back(&connection);
}

void Upstream::forget(Connection& connection) {
  const auto it = pools_.find(connection.uid());
  if (it != pools_.end()) std::erase(it->second.idle, &connection);
}

void Upstream::closeIdle(Pool& pool) {
  while (!pool.idle.empty()) pool.idle.back()->close();
}

void Upstream::keepConnections(bool keep) {
  keeps_ = keep;
  if (keep) return;
  for (auto& [uid, pool] : pools_) closeIdle(pool);
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

void Upstream::countBusy(const std::string& uid, bool busy) {
  const auto it = pools_.find(uid);
  if (it != pools_.end()) busy ? it->second.need.onBusy() : it->second.need.onIdle();
}

void Upstream::sweep() {
  const Time limit = timers_.clock().now() - idleLimit();
  for (auto& [uid, pool] : pools_) {
    while (!pool.idle.empty() && pool.idle.front()->idleSince() < limit) pool.idle.front()->close();
    pool.need.tick();
    while (pool.idle.size() > pool.need.worthKeeping()) pool.idle.front()->close();
  }
  timers_.after(kSweep, [this] { sweep(); });
}

}  // namespace quinceline
