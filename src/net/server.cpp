#include "net/server.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <stdexcept>
#include <string>
#include <utility>

#include "admission/upload_clock.h"

namespace quinceline {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kReadAhead = 4 * 1024;  // of a next request that comes before the answer
constexpr std::size_t kBodyRead = 32 * 1024;  // at a time
constexpr std::size_t kLongRead = 16 * 1024;  // of a long one, which may fill its window and one read
constexpr std::size_t kHeadRead = 1024;
constexpr int kLongSendBuffer = 128 * 1024;       // a slow client is heard of before megabytes wait for it
constexpr Time kHostMayRest = 10 * kSecond;       // between pieces of a long answer: the host's side ends it
constexpr Time kSweep = 100 * kMillisecond;       // how often connections are looked at for what is overdue
constexpr Time kAcceptAgain = 20 * kMillisecond;  // after the system or the budget had no descriptor
constexpr Time kLookForEnd = 20 * kMillisecond;   // while nothing is read of what a waiting client sends
constexpr Time kRetired = kSecond;                // a client at rest has to close in turn
constexpr int kAcceptBatch = 64;                  // connections taken before others have their turn

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

admission::PeerAddress addressOf(const asio::ip::tcp::socket& socket) {
  error_code ec;
  const asio::ip::address address = socket.remote_endpoint(ec).address();
  if (ec) return {};
  return (address.is_v4() ? asio::ip::make_address_v6(asio::ip::v4_mapped, address.to_v4()) : address.to_v6())
      .to_bytes();
}

}  // namespace

// One client's connection. It lives as long as the server lists it or an operation of its socket is out.
class Server::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Server& server, ConnectionId id, Socket socket)
      : server_(server), id_(id), socket_(std::move(socket)) {}

  // It has been at rest elsewhere.
  void rest() {
    if (resting_ && state_ == State::Reading) server_.gate_.onRest(server_.now(), id_);
  }

  void start() {
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    nextRequest();
  }

  // Something has come that was not read yet: the connection is not really idle.
  bool inputWaits() {
    error_code ec;
    return socket_.available(ec) > 0 && !ec;
  }

  void answer(Answer answer) {
    resting_ = false;
    if (std::exchange(uploading_, false)) {
      close_ = true;  // the rest of what it sends is not wanted
      pipe_->breakOff();
    }
    const Cause verdict = server_.gate_.onAnswer(server_.now(), id_, in_.size() > 0);
    if (verdict != Cause::None) close_ = true;
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
    if (server_.draining_) close_ = true, cause_ = Cause::Shutdown;
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
    share_.reset();
    pipe_.reset();
    state_ = State::Answering;
    write();
  }

  // Its answer waits for the host, or the host's next piece is here.
  void passOn() {
    if (state_ != State::Answering || writing_ || !rest_) return;
    const std::string piece = rest_->take();
    const BodyPipe::End end = rest_->end();
    if (!piece.empty()) {
      if (chunked_) {
        out_ += "\r\n";
        out_ += chunkLine(piece.size());
      }
      out_ += piece;
    } else if (end == BodyPipe::End::Broken) {
      return close(Cause::AnswerCut);
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

  void bodyMayGrow() {
    if (!std::exchange(waits_for_room_, false) || state_ != State::Reading) return;
    clock_->resume(server_.now());
    server_.gate_.extend(id_, clock_->due());
    readOn();
  }

  // The limits of time. None is renewed by a byte more or less: whoever trickles gets no longer than whoever
  // is silent. They would harm clients on slow lines; the protocol's are on the same machine.
  void overdue(Cause cause) {
    if (resting_ && inputWaits())
      return server_.gate_.notYet(server_.now(), id_);  // its reading is under way
    if (resting_ && cause == Cause::IdleOverdue) return retire(cause);
    if (resting_ || state_ != State::Reading) return close(cause);
    abandonUpload();
    if (state_ == State::Closed) return;
    refuse(waits_for_room_ ? 503 : 408);
    cause_ = waits_for_room_ ? Cause::BodyMemory : cause;
  }

  // At rest and not wanted any more: its client hears of it by the end of our sending. To close now would
  // reset the connection where a request is on its way, and what we sent last might go with it.
  void retire(Cause cause) {
    cause_ = cause;
    resting_ = false;
    linger();
    if (state_ != State::Closed) server_.gate_.extend(id_, server_.now() + kRetired);
  }

  // Gives its socket away where nothing has been read of a request. What waits in the kernel goes with it.
  void handOn() {
    if (!resting_ || state_ != State::Reading || in_.size() > 0) return;
    if (!server_.give_(socket_.native_handle())) return;
    error_code ignored;
    ::close(socket_.release(ignored));  // it lives on elsewhere: this loop must not hear of it any more
    close(Cause::HandedOn);
  }

  void close(Cause cause) {
    if (state_ == State::Closed) return;
    state_ = State::Closed;
    ended();
    share_.reset();
    if (pipe_) std::exchange(pipe_, nullptr)->breakOff();
    error_code ignored;
    if (rest_) {
      // Nothing that could pass for a whole answer.
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
      std::exchange(rest_, nullptr)->giveUp();
    }
    socket_.close(ignored);
    tellStreamed(false);
    server_.remove(id_, cause);  // the last thing: it may destroy this
  }

 private:
  enum class State { Reading, Waiting, Answering, Lingering, Closed };

  void close() { close(cause_); }

  // Its request has.
  void ended() { server_.open_requests_ -= std::exchange(taken_, false) ? 1U : 0U; }

  void tellStreamed(bool whole) {
    const ExchangeId exchange = std::exchange(streamed_, 0);
    if (exchange != 0 && !server_.ending_) server_.sink_.onStreamed(exchange, whole);
  }

  void nextRequest() {
    state_ = State::Reading;
    head_seen_ = false;
    exchange_ = 0;
    clock_.reset();
    share_.reset();
    if (in_.size() > 0) {
      begin();
      parse();
    } else {
      in_.release();
      armRead();
    }
  }

  // A request's first byte is here.
  void begin() {
    resting_ = false;
    parser_ = std::make_unique<RequestParser>();
    server_.gate_.onFirstByte(server_.now(), id_);
  }

  // ---- reading ----

  // Waiting comes first and reading after it, so that connections on which nothing comes hold no buffer.
  void armRead() {
    if (reading_ || state_ == State::Closed) return;
    reading_ = true;
    socket_.async_wait(Socket::wait_read,
                       [self = shared_from_this()](error_code ec) { self->onReadable(ec); });
  }

  void onReadable(error_code ec) {
    reading_ = false;
    if (state_ == State::Closed) return;
    if (ec) return onReadEnd(ec);
    if (state_ == State::Lingering) return discard();
    const bool body = state_ == State::Reading && head_seen_;
    const std::size_t n = socket_.read_some(in_.space(uploading_ ? kLongRead
                                                      : body     ? kBodyRead
                                                                 : kHeadRead),
                                            ec);
    if (ec == asio::error::would_block) return armRead();
    if (ec) return onReadEnd(ec);
    in_.commit(n);
    if (state_ == State::Reading) {
      if (resting_) begin();
      if (clock_) {
        clock_->onBytes(server_.now(), n);
        server_.gate_.extend(id_, clock_->due());
      }
      return parse();
    }
    // A further request before this one's answer: it waits, and so do we beyond a bound.
    in_.size() < kReadAhead ? armRead() : lookForEnd();
  }

  // Nothing more is read, yet a client that leaves is to be noticed.
  void lookForEnd() {
    if (state_ != State::Waiting) return;
    if (hungUp(socket_.native_handle())) return onReadEnd(asio::error::eof);
    server_.timers_.after(kLookForEnd, [weak = weak_from_this(), exchange = exchange_] {
      const auto self = weak.lock();
      if (self && self->exchange_ == exchange) self->lookForEnd();
    });
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

  // What was begun to be passed on will never be whole.
  void abandonUpload() {
    if (!std::exchange(uploading_, false)) return;
    const ExchangeId exchange = exchange_;
    server_.exchanges_.erase(exchange);
    std::exchange(pipe_, nullptr)->breakOff();
    server_.sink_.onClientGone(exchange);
  }

  void parse() {
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
      if (uploading_) pipe_->put(std::exchange(parser_->body, {}));
      if (state_ != State::Reading) return;
    }
    uploading_ ? completeLong() : complete();
  }

  // False: the request was answered by its head alone.
  bool acceptHead() {
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
    if (uploading_ && !pipe_->hasRoom()) {
      clock_->pause(server_.now());  // the host's side is slow: not the client's fault
      in_.release();
      server_.gate_.extend(id_, 0);
      return;
    }
    if (share_ && !uploading_ && !share_->mayGrow(parser_->body.size())) {
      waits_for_room_ = true;  // backpressure: the kernel's buffer fills, then the client's
      clock_->pause(server_.now());
      server_.gate_.extend(id_, server_.now() + server_.limits_.connections.request);
      return;
    }
    armRead();
  }

  // The host's side has taken what waited for it.
  void uploadMayGoOn() {
    if (!uploading_ || state_ != State::Reading) return;
    clock_->resume(server_.now());
    server_.gate_.extend(id_, clock_->due());
    armRead();
  }

  // More than is held: from here on it is passed on as it comes.
  void beginLong() {
    const auto length = parser_->content_length();
    pipe_ = std::make_shared<BodyPipe>(length ? std::optional<std::uint64_t>(*length) : std::nullopt);
    pipe_->onRoom([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->uploadMayGoOn();
    });
    uploading_ = true;
    // What it may hold of the budget it may go on holding, for its window, when the beginning is let go.
    const auto share = share_;
    ClientRequest request = takeRequest();
    share_ = share;
    request.rest = pipe_;
    exchange_ = server_.next_exchange_++;
    server_.exchanges_.emplace(exchange_, this);
    server_.sink_.onRequest(exchange_, std::move(request));
  }

  void completeLong() {
    uploading_ = false;
    share_.reset();
    clock_.reset();
    state_ = State::Waiting;
    taken_ = true;
    ++server_.open_requests_;
    server_.gate_.onRequest(id_);
    const Time received = server_.now() - ageOfInput(socket_.native_handle());
    const ExchangeId exchange = exchange_;
    parser_.reset();
    armRead();
    const auto pipe = pipe_;
    pipe->finish();
    if (state_ == State::Waiting) server_.sink_.onUploaded(exchange, received);
  }

  ClientRequest takeRequest() {
    ClientRequest request;
    request.received = server_.now() - ageOfInput(socket_.native_handle());
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
      parser_->body = std::string();
    }
    return request;
  }

  void complete() {
    ClientRequest request = takeRequest();
    clock_.reset();
    state_ = State::Waiting;
    taken_ = true;
    ++server_.open_requests_;
    server_.gate_.onRequest(id_);  // its deadline is the sink's to keep
    parser_.reset();
    exchange_ = server_.next_exchange_++;
    server_.exchanges_.emplace(exchange_, this);
    // It may have left while its request stood in a queue of the system's: then nothing is sent for it.
    if (hungUp(socket_.native_handle())) {
      server_.exchanges_.erase(exchange_);
      return refuse(503);
    }
    in_.size() < kReadAhead ? armRead() : lookForEnd();  // to see a client leave while it waits
    server_.sink_.onRequest(exchange_, std::move(request));
  }

  void refuse(int status) {
    close_ = true;
    answer({.status = status, .body = {}, .content_type = {}, .retry_after = {}});
  }

  // ---- writing ----

  void write() {
    writing_ = true;
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](error_code ec, std::size_t) { self->onWritten(ec); });
  }

  void onWritten(error_code ec) {
    if (state_ == State::Closed) return;
    writing_ = false;
    out_ = std::string();
    if (ec) return close();
    if (rest_) return passOn();
    onAnswered();
  }

  void onAnswered() {
    ended();
    tellStreamed(true);
    if (close_) return linger();
    resting_ = true;
    server_.gate_.onRest(server_.now(), id_);
    const auto self = shared_from_this();
    nextRequest();
    if (server_.give_) handOn();
  }

  // Closing now could reset the connection and destroy the answer while it is under way: end the sending,
  // then take what the client still sends, and forget it, until it has closed too or the time is up.
  void linger() {
    state_ = State::Lingering;
    server_.gate_.onLinger(server_.now(), id_);
    error_code ec;
    socket_.shutdown(asio::socket_base::shutdown_send, ec);
    if (ec) return close();
    in_.consume(in_.size());
    in_.release();
    armRead();
  }

  void discard() {
    error_code ec;
    socket_.read_some(asio::buffer(server_.discarded_), ec);
    if (ec && ec != asio::error::would_block) return close();
    armRead();
  }

  Server& server_;
  const ConnectionId id_;
  Socket socket_;
  State state_ = State::Reading;
  Cause cause_ = Cause::None;  // of its end, where that was decided here
  bool resting_ = true;        // no request is open here
  ReadBuffer in_;
  std::unique_ptr<RequestParser> parser_;        // only while a request comes: it is large
  std::shared_ptr<BodyShare> share_;             // of the body that is being read
  std::string out_;                              // the answer
  std::shared_ptr<BodyPipe> pipe_;               // of the long body that is being read
  std::shared_ptr<BodyPipe> rest_;               // of the long answer that is being written
  std::optional<admission::UploadClock> clock_;  // of the body that is being read
  ExchangeId exchange_ = 0;
  ExchangeId streamed_ = 0;  // whose long answer is being written; 0: none
  bool head_seen_ = false;
  bool taken_ = false;  // its request is whole and has not ended
  bool old_version_ = false, close_ = false;
  bool uploading_ = false;  // a long body: its request is with the sink already
  bool writing_ = false, chunked_ = false;
  bool reading_ = false, waits_for_room_ = false;
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
      acceptor_(io),
      gate_(limits.connections) {
  bodies_->onRoom([this] { grantBodies(); });
  sweep();
}

Server::~Server() {
  ending_ = true;
  bodies_->onRoom(nullptr);
  const auto connections = std::exchange(connections_, {});
  for (const auto& [id, connection] : connections) connection->close(Cause::Shutdown);
}

void Server::listenOn(int descriptor) {
  sockaddr_storage address{};
  socklen_t size = sizeof address;
  error_code ec;
  if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    ec.assign(errno, boost::system::system_category());
  const bool six = address.ss_family == AF_INET6;
  if (!ec) acceptor_.assign(six ? asio::ip::tcp::v6() : asio::ip::tcp::v4(), descriptor, ec);
  // It may be bound only; where it listens already this changes the length of its queue.
  if (!ec) acceptor_.listen(4096, ec);
  if (!ec) acceptor_.non_blocking(true, ec);
  if (ec) throw std::runtime_error("descriptor " + std::to_string(descriptor) + ": " + ec.message());
  accept();
}

void Server::handOn(std::function<bool(int)> give) {
  give_ = std::move(give);
  if (acceptor_.is_open()) acceptor_.cancel();
  std::vector<std::shared_ptr<Connection>> all;
  for (const auto& [id, connection] : connections_) all.push_back(connection);
  for (const auto& connection : all) connection->handOn();
}

void Server::keepAll() {
  give_ = nullptr;
  accept();
}

// Its client has asked before, or is about to: it rests like any other.
void Server::adopt(int descriptor) {
  Socket socket(io_);
  error_code ec;
  sockaddr_storage address{};
  socklen_t size = sizeof address;
  if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
    const bool six = address.ss_family == AF_INET6;
    socket.assign(six ? asio::ip::tcp::v6() : asio::ip::tcp::v4(), descriptor, ec);
  } else {
    ec = asio::error::bad_descriptor;
  }
  if (ec) {
    ::close(descriptor);
    return;
  }
  descriptors_.takeAnyway(Side::Clients);
  const auto connection = admit(std::move(socket));
  connection->rest();
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

void Server::reconfigure(const admission::ConnectionGate::Limits& limits) {
  limits_.connections = limits;
  gate_.reconfigure(limits);
}

asio::ip::tcp::endpoint Server::localEndpoint() const { return acceptor_.local_endpoint(); }

void Server::accept() {
  if (accepting_ || no_place_ || give_ || !acceptor_.is_open()) return;
  accepting_ = true;
  acceptor_.async_wait(asio::ip::tcp::acceptor::wait_read, [this](error_code ec) {
    accepting_ = false;
    if (give_) return;
    if (ec == asio::error::operation_aborted) return accept();
    if (acceptor_.is_open()) acceptBatch();
  });
}

// Trying on at once would spin; a client that waits in the queue must be taken up again, also if nobody
// leaves: what may give way changes with time.
void Server::acceptLater() {
  no_place_ = true;
  timers_.after(kAcceptAgain, [this] {
    no_place_ = false;
    accept();
  });
}

// The queue is drained in bounded batches: what waits behind a crowd that says nothing is reached soon, and
// open requests have their turn in between.
void Server::acceptBatch() {
  for (int n = 0; n < kAcceptBatch; ++n) {
    if (!takePlace()) return acceptLater();
    error_code ec;
    Socket socket(io_);
    acceptor_.accept(socket, ec);
    if (!ec) {
      if (gate_.full()) closeOneIdle();
      admit(std::move(socket));
      continue;
    }
    descriptors_.release(Side::Clients);
    if (ec == asio::error::would_block) break;
    if (ec == asio::error::no_descriptors || ec.value() == ENFILE) {
      log_.line("accept: " + ec.message(), LogLevel::Warning);
      closeOneIdle();
      return acceptLater();
    }
  }
  accept();
}

// A descriptor for the next connection. Beyond the bound a few more are taken whose requests are refused at
// once: left in the queue they would wait for nothing.
bool Server::takePlace() {
  const std::size_t most = descriptors_.most(Side::Clients), over = limits_.connections.overflow;
  gate_.setMost(std::min(limits_.connections.most, most > over ? most - over : 1));
  if (gate_.overfull() && !closeOneIdle()) return false;
  return descriptors_.take(Side::Clients);
}

std::shared_ptr<Server::Connection> Server::admit(Socket socket) {
  const admission::PeerAddress peer = addressOf(socket);
  const ConnectionId id = gate_.onAccepted(now(), peer);
  const auto connection = std::make_shared<Connection>(*this, id, std::move(socket));
  connections_.emplace(id, connection);
  connection->start();
  closeChosen([&] { return gate_.makeRoomAt(now(), peer); });
  return connection;
}

void Server::remove(ConnectionId connection, Cause cause) {
  if (connections_.erase(connection) == 0) return;
  gate_.onClosed(connection, cause);
  descriptors_.release(Side::Clients);
}

bool Server::closeOneIdle(Time rested) {
  return closeChosen([&] { return gate_.makeRoom(now(), rested); });
}

// What is chosen but has input waiting is passed over: its reading is under way.
template <typename Choose>
std::shared_ptr<Server::Connection> Server::chosen(Choose choose, Cause* why) {
  while (const auto victim = choose()) {
    const std::shared_ptr<Connection> connection = connections_.at(victim->id);
    if (!connection->inputWaits()) {
      if (why != nullptr) *why = victim->cause;
      return connection;
    }
    gate_.notYet(now(), victim->id);
  }
  return nullptr;
}

// At once: its place is wanted.
template <typename Choose>
bool Server::closeChosen(Choose choose) {
  Cause why = Cause::None;
  const auto connection = chosen(choose, &why);
  if (connection) connection->close(why);
  return connection != nullptr;
}

void Server::sweep() {
  overdue_.clear();
  gate_.overdue(now(), overdue_);
  for (const auto& [id, state] : overdue_) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) continue;
    const std::shared_ptr<Connection> connection = it->second;
    connection->overdue(admission::ConnectionGate::causeOf(state));
  }
  timers_.after(kSweep, [this] { sweep(); });
}

void Server::grantBodies() {
  // Not at once: this may be called from within a body's release.
  asio::post(io_, [bodies = bodies_] { bodies->wakeWaiting(); });
}

void Server::answer(ExchangeId id, Answer answer) {
  const auto it = exchanges_.find(id);
  if (it != exchanges_.end()) it->second->answer(std::move(answer));
}

void Server::drain(bool on) { draining_ = on; }

void Server::closeIdle(Time rested) {
  while (const auto resting = chosen([&] { return gate_.makeRoom(now(), rested); }))
    resting->retire(Cause::Shutdown);
}

void Server::stopListening() {
  if (!acceptor_.is_open()) return;
  // Whoever stands in the accept queue would be reset with the listener, and may have sent a request already.
  for (;;) {
    error_code ec;
    Socket socket(io_);
    acceptor_.accept(socket, ec);
    if (ec) break;
    descriptors_.takeAnyway(Side::Clients);  // these few are the last
    admit(std::move(socket));
  }
  error_code ignored;
  acceptor_.close(ignored);
}

}  // namespace quinceline
