#include "server.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <utility>

namespace quinceline {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kReadAhead = 4 * 1024;    // of a next request that comes before the answer
constexpr std::size_t kBodyRead = 32 * 1024;    // at a time
constexpr Time kLookAfter = 2 * kSecond;        // how often a connection is looked at for stalls
constexpr Time kAcceptAgain = 20 * kMillisecond;  // after the system or the budget had no descriptor

std::string_view reasonOf(int status) {
  const auto text = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
  return {text.data(), text.size()};
}

void appendNumber(std::string& to, std::uint64_t value, int base = 10) {
  std::array<char, 20> digits;
  const auto r = std::to_chars(digits.data(), digits.data() + digits.size(), value, base);
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

}  // namespace

// One client's connection. It lives as long as the server lists it or an operation of its socket is out.
class Server::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Server& server, std::uint64_t id, Socket socket)
      : server_(server), id_(id), socket_(std::move(socket)) {
    active_ = server_.timers_.clock().now();
  }

  void start() {
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    nextRequest();
    lookAfter();
  }

  bool idle() const { return state_ == State::Reading && !parser_->got_some() && in_.size() == 0; }
  Time activeAt() const { return active_; }

  // Something has come that was not read yet: the connection is not really idle.
  bool inputWaits() {
    error_code ec;
    return socket_.available(ec) > 0 && !ec;
  }

  void answer(const Answer& answer) {
    out_ = headOf(answer.status, answer.content_type);
    if (answer.retry_after) {
      out_ += "Retry-After: ";
      out_ += formatSeconds(*answer.retry_after);
      out_ += "\r\n";
    }
    out_ += "Content-Length: ";
    appendNumber(out_, answer.body.size());
    out_ += "\r\n";
    finishHead();
    body_out_ = answer.body;
    server_.exchanges_.erase(exchange_);
    state_ = State::Answering;
    ended_ = true;
    write();
  }

  void beginStream(std::optional<std::uint64_t> length, const std::string& content_type) {
    out_ = headOf(200, content_type);
    chunked_ = !length && !old_version_;
    if (length) {
      out_ += "Content-Length: ";
      appendNumber(out_, *length);
      out_ += "\r\n";
    } else if (chunked_) {
      out_ += "Transfer-Encoding: chunked\r\n";
    } else {
      close_ = true;  // its end is the connection's end
    }
    finishHead();
    state_ = State::Streaming;
    ended_ = false;
    write();
  }

  bool stream(std::string piece) {
    if (piece.empty()) return !full();
    if (chunked_) {
      appendNumber(pending_, piece.size(), 16);
      pending_ += "\r\n";
      pending_ += piece;
      pending_ += "\r\n";
    } else if (pending_.empty()) {
      pending_ = std::move(piece);
    } else {
      pending_ += piece;
    }
    write();
    if (full()) told_full_ = true;
    return !told_full_;
  }

  void endStream() {
    if (chunked_) pending_ += "0\r\n\r\n";
    ended_ = true;
    server_.exchanges_.erase(exchange_);
    write();
  }

  // A reset, not an end: without a length, an end would look like a whole answer.
  void breakStream() {
    server_.exchanges_.erase(exchange_);
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }

  void bodyMayGrow() {
    if (!waits_for_room_) return;
    waits_for_room_ = false;
    active_ = server_.timers_.clock().now();
    if (state_ == State::Reading) readOn();
  }

  void close() {
    if (state_ == State::Closed) return;
    state_ = State::Closed;
    share_.reset();
    error_code ignored;
    socket_.close(ignored);
    server_.remove(id_);  // the last thing: it may destroy this
  }

 private:
  enum class State { Reading, Waiting, Answering, Streaming, Lingering, Closed };

  bool full() const { return pending_.size() + body_out_.size() >= kSmallAnswer; }

  void finishHead() {
    if (server_.draining_ || server_.crowded()) close_ = true;
    if (close_) {
      out_ += "Connection: close\r\n";
    } else if (old_version_) {
      out_ += "Connection: keep-alive\r\n";
    }
    out_ += "\r\n";
  }

  void nextRequest() {
    state_ = State::Reading;
    parser_.emplace();
    head_seen_ = false;
    exchange_ = 0;
    share_.reset();
    in_.shrink();
    if (in_.size() > 0) {
      parse();
    } else {
      armRead();
    }
  }

  // ---- reading ----

  void armRead() {
    if (reading_ || state_ == State::Closed) return;
    const bool body = state_ == State::Reading && head_seen_;
    reading_ = true;
    socket_.async_read_some(in_.space(body ? kBodyRead : 1024),
                            [self = shared_from_this()](error_code ec, std::size_t n) { self->onRead(ec, n); });
  }

  void onRead(error_code ec, std::size_t bytes) {
    reading_ = false;
    if (state_ == State::Closed) return;
    if (ec) return onReadEnd(ec);
    in_.commit(bytes);
    active_ = server_.timers_.clock().now();
    switch (state_) {
      case State::Reading:
        parse();
        break;
      case State::Lingering:
        in_.consume(in_.size());
        armRead();
        break;
      default:  // a further request before this one's answer: it waits, and so do we beyond a bound
        if (in_.size() < kReadAhead) armRead();
    }
  }

  void onReadEnd(error_code ec) {
    switch (state_) {
      case State::Waiting: {
        const ExchangeId exchange = exchange_;
        server_.exchanges_.erase(exchange);
        close_ = true;
        server_.sink_.onClientGone(exchange);
        if (state_ == State::Closed) return;
        // A client that ended only its sending still hears that nothing came of it.
        if (ec == asio::error::eof) return answer({.status = 502, .body = {}, .content_type = {}, .retry_after = {}});
        return close();
      }
      case State::Streaming: {
        if (ec == asio::error::eof && ended_) {
          close_ = true;
          return;
        }
        const ExchangeId exchange = exchange_;
        const bool told = !ended_;
        server_.exchanges_.erase(exchange);
        if (told) server_.sink_.onClientGone(exchange);
        return close();
      }
      case State::Answering:
        close_ = true;
        if (ec != asio::error::eof) close();
        return;
      default:
        return close();
    }
  }

  void parse() {
    error_code ec;
    while (!parser_->is_done()) {
      if (in_.size() == 0) return readOn();
      const std::size_t used = parser_->put(in_.data(), ec);
      in_.consume(used);
      if (ec == http::error::need_more) {
        if (in_.size() <= kMostHead + kBodyRead) return readOn();
        ec = http::error::buffer_overflow;
      }
      if (ec) return refuse(statusOf(ec));
      if (parser_->is_header_done() && !head_seen_ && !acceptHead()) return;
    }
    complete();
  }

  // False: the request was answered by its head alone.
  bool acceptHead() {
    head_seen_ = true;
    old_version_ = parser_->head.old_version;
    close_ = !parser_->keep_alive();
    if (const std::optional<Answer> early = server_.sink_.onHead(parser_->head)) {
      if (!parser_->is_done()) close_ = true;  // its body is not waited for
      answer(*early);
      armRead();
      return false;
    }
    if (parser_->is_done()) return true;
    share_ = std::make_shared<BodyShare>(server_.bodies_, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->bodyMayGrow();
    });
    parser_->eager(true);
    if (parser_->head.expects_continue && !old_version_ && in_.size() == 0) {
      error_code ignored;  // a few bytes on a connection that has nothing else to send
      socket_.write_some(asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
    }
    return true;
  }

  void readOn() {
    if (share_ && !share_->mayGrow(parser_->body.size())) {
      waits_for_room_ = true;  // backpressure: the kernel's buffer fills, then the client's
      return;
    }
    armRead();
  }

  void complete() {
    ClientRequest request;
    const Time now = server_.timers_.clock().now();
    request.received = now - ageOfInput(socket_.native_handle());
    active_ = now;
    request.head = std::move(parser_->head);
    // The body and its share of the budget go together, whoever holds them longest.
    if (share_) {
      struct Held {
        std::shared_ptr<BodyShare> share;
        std::string bytes;
      };
      auto held = std::make_shared<Held>(Held{std::move(share_), std::move(parser_->body)});
      request.body = std::shared_ptr<const std::string>(held, &held->bytes);
      share_.reset();
    }
    state_ = State::Waiting;
    exchange_ = server_.next_exchange_++;
    server_.exchanges_.emplace(exchange_, this);
    in_.shrink();
    armRead();  // the only way to see a client leave while it waits
    server_.sink_.onRequest(exchange_, std::move(request));
  }

  void refuse(int status) {
    close_ = true;
    answer({.status = status, .body = {}, .content_type = {}, .retry_after = {}});
  }

  // ---- writing ----

  void write() {
    if (writing_ || state_ == State::Closed) return;
    if (state_ == State::Streaming && !pending_.empty()) {
      body_out_ = std::move(pending_);
      pending_.clear();
    }
    if (out_.empty() && body_out_.empty()) {
      if (ended_) finished();
      return;
    }
    writing_ = true;
    active_ = server_.timers_.clock().now();
    const std::array<asio::const_buffer, 2> buffers = {asio::buffer(out_), asio::buffer(body_out_)};
    writeSome(buffers);
  }

  template <typename Buffers>
  void writeSome(const Buffers& buffers) {
    asio::async_write(
        socket_, buffers,
        [self = shared_from_this()](error_code ec, std::size_t bytes) {
          // Progress is noted at each piece, so that a slow reader is told from one that has stopped.
          self->active_ = bytes > self->progress_ ? self->server_.timers_.clock().now() : self->active_;
          self->progress_ = bytes;
          return ec ? std::size_t{0} : std::size_t{64 * 1024};
        },
        [self = shared_from_this()](error_code ec, std::size_t) { self->onWritten(ec); });
  }

  void onWritten(error_code ec) {
    writing_ = false;
    progress_ = 0;
    if (state_ == State::Closed) return;
    out_.clear();
    body_out_.clear();
    if (ec) return onReadEnd(ec);
    active_ = server_.timers_.clock().now();
    if (!pending_.empty()) return write();
    if (ended_) return finished();
    if (std::exchange(told_full_, false)) server_.sink_.onStreamWritable(exchange_);
  }

  void finished() {
    body_out_ = std::string();
    pending_ = std::string();
    told_full_ = false;
    chunked_ = false;
    if (!close_) return nextRequest();
    // Closing now could reset the connection and destroy the answer while it is under way: end the sending,
    // then wait until the client has closed too.
    state_ = State::Lingering;
    error_code ec;
    socket_.shutdown(asio::socket_base::shutdown_send, ec);
    if (ec) return close();
    in_.consume(in_.size());
    if (!reading_) armRead();
    server_.timers_.after(server_.limits_.linger, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->close();
    });
  }

  // ---- stalls ----

  void lookAfter() {
    server_.timers_.after(kLookAfter, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self || self->state_ == State::Closed) return;
      if (self->stalled()) return self->cutOff();
      self->lookAfter();
    });
  }

  bool stalled() const {
    const Time quiet = server_.timers_.clock().now() - active_;
    switch (state_) {
      case State::Reading:
        if (waits_for_room_) return false;
        return quiet > (idle() ? server_.limits_.idle : server_.limits_.head_stall);
      case State::Answering:
      case State::Streaming:
        return writing_ && quiet > server_.limits_.write_stall;
      default:
        return false;
    }
  }

  void cutOff() {
    if (state_ == State::Reading && !idle()) return refuse(408);
    if (state_ == State::Streaming && !ended_) {
      server_.exchanges_.erase(exchange_);
      server_.sink_.onClientGone(exchange_);
    }
    close();
  }

  Server& server_;
  const std::uint64_t id_;
  Socket socket_;
  State state_ = State::Reading;
  ReadBuffer in_;
  std::optional<RequestParser> parser_;
  std::shared_ptr<BodyShare> share_;
  ExchangeId exchange_ = 0;
  Time active_ = 0;  // when bytes last moved
  std::string out_, body_out_, pending_;
  std::size_t progress_ = 0;
  bool head_seen_ = false, old_version_ = false, close_ = false, waits_for_room_ = false;
  bool reading_ = false, writing_ = false;
  bool ended_ = false;  // nothing more will be added to the answer
  bool chunked_ = false, told_full_ = false;
};

Server::Server(asio::io_context& io, Timers& timers, Descriptors& descriptors, Log& log, RequestSink& sink,
               Limits limits)
    : io_(io),
      timers_(timers),
      descriptors_(descriptors),
      log_(log),
      sink_(sink),
      limits_(limits),
      bodies_(std::make_shared<BodyBudget>(limits.body_bytes)),
      acceptor_(io) {
  bodies_->onRoom([this] { grantBodies(); });
}

Server::~Server() {
  bodies_->onRoom(nullptr);
  const auto connections = std::exchange(connections_, {});
  for (const auto& [id, connection] : connections) connection->close();
}

void Server::listen(const asio::ip::tcp::endpoint& endpoint) {
  acceptor_.open(endpoint.protocol());
  // A client proxy that was killed starts again at once under its address.
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(4096);
  acceptor_.non_blocking(true);
  accept();
}

asio::ip::tcp::endpoint Server::localEndpoint() const { return acceptor_.local_endpoint(); }

// The next connection is awaited only while there is a descriptor for it. When there is none, the wait is
// timed: trying on at once would spin, and a client that waits in the queue must be taken up again.
void Server::accept() {
  if (accepting_ || !acceptor_.is_open()) return;
  const bool room = connections_.size() < limits_.connections || closeOneIdle();
  if (!room || !descriptors_.take()) {
    timers_.after(kAcceptAgain, [this] { accept(); });
    return;
  }
  accepting_ = true;
  acceptor_.async_accept([this](error_code ec, Socket socket) {
    accepting_ = false;
    if (ec == asio::error::operation_aborted || !acceptor_.is_open()) {
      descriptors_.release();
      return;
    }
    if (ec) {
      descriptors_.release();
      if (ec == asio::error::no_descriptors || ec.value() == ENFILE) {
        log_.line("accept: " + ec.message());
        closeOneIdle();
      }
      timers_.after(kAcceptAgain, [this] { accept(); });
      return;
    }
    admit(std::move(socket));
    accept();
  });
}

void Server::admit(Socket socket) {
  const std::uint64_t id = next_connection_++;
  const auto connection = std::make_shared<Connection>(*this, id, std::move(socket));
  connections_.emplace(id, connection);
  connection->start();
}

void Server::remove(std::uint64_t connection) {
  if (connections_.erase(connection) > 0) descriptors_.release();
}

bool Server::closeOneIdle() {
  std::shared_ptr<Connection> oldest;
  for (const auto& [id, connection] : connections_) {
    if (connection->idle() && (!oldest || connection->activeAt() < oldest->activeAt()) &&
        !connection->inputWaits()) {
      oldest = connection;
    }
  }
  if (!oldest) return false;
  oldest->close();
  return true;
}

void Server::grantBodies() {
  // Not at once: this may be called from within a body's release.
  asio::post(io_, [bodies = bodies_] { bodies->wakeWaiting(); });
}

Server::Connection* Server::find(ExchangeId id) {
  const auto it = exchanges_.find(id);
  return it == exchanges_.end() ? nullptr : it->second;
}

void Server::answer(ExchangeId id, const Answer& answer) {
  if (Connection* c = find(id)) c->answer(answer);
}

void Server::beginStream(ExchangeId id, std::optional<std::uint64_t> length, const std::string& content_type) {
  if (Connection* c = find(id)) c->beginStream(length, content_type);
}

bool Server::stream(ExchangeId id, std::string piece) {
  Connection* c = find(id);
  return c == nullptr || c->stream(std::move(piece));
}

void Server::endStream(ExchangeId id) {
  if (Connection* c = find(id)) c->endStream();
}

void Server::breakStream(ExchangeId id) {
  if (Connection* c = find(id)) c->breakStream();
}

void Server::drain() { draining_ = true; }

void Server::closeIdle() {
  while (closeOneIdle()) {
  }
}

void Server::stopListening() {
  if (!acceptor_.is_open()) return;
  // Whoever stands in the accept queue would be reset with the listener, and may have sent a request already.
  for (;;) {
    error_code ec;
    Socket socket(io_);
    acceptor_.accept(socket, ec);
    if (ec) break;
    descriptors_.take();  // beyond the budget if need be: these few are the last
    admit(std::move(socket));
  }
  error_code ignored;
  acceptor_.close(ignored);
}

}  // namespace quinceline
