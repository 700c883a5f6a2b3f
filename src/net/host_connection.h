// One connection to a host: private to the package.
#pragma once

#include <sys/types.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "net/upstream.h"

namespace client_proxy {

class Upstream::Connection : public std::enable_shared_from_this<Connection> {
  using Socket = boost::asio::ip::tcp::socket;
  using Result = load_balancer::Result;
  static constexpr int kMostInterims = 16;

 public:
  Connection(Upstream& up, std::uint64_t id, std::string uid, const Endpoint& endpoint)
      : up_(up),
        id_(id),
        uid_(std::move(uid)),
        endpoint_(endpoint),
        socket_(up.io_),
        request_memory_(up.memory_, MemoryUse::Request),
        answer_memory_(up.memory_, MemoryUse::Answer, [this] { onMemoryFree(); }) {}

  std::uint64_t id() const { return id_; }
  const std::string& uid() const { return uid_; }
  const Endpoint& endpoint() const { return endpoint_; }
  Time idleSince() const { return idle_since_; }
  Time reusableAt() const { return idle_since_ + up_.limits_.reuse_delay; }

  void startAttempt(AttemptId id, AttemptRequest request);

  // `head`: of a request without a body, complete.
  void startHealthCheck(std::string head);

  void giveUp(Result as) { end(as); }
  bool answering() const { return busy_ && parser_->is_header_done() && parser_->status == 200; }

  // An idle connection that the host has closed, or on which something lies that nobody asked for (a second
  // copy of the last answer, say): the next request must not take that for its answer. Nothing is read while
  // a connection is idle, so whatever has come is still to be seen here. Bytes are noted for the host.
  bool stale();

  void close();

 private:
  void begin(AttemptRequest request);

  // At once, or when the delay after the last answer is over. If something comes until then, nothing is sent.
  void writeWhenReusable();
  // recv(2) of one byte that stays unread.
  ssize_t peek();
  // Bytes, or the end of the connection.
  bool inputWaits();

  void connect();

  void later(Result result);

  // ---- writing ----

  // The head for the first byte, made when that can be written: until then the client's time runs on, and
  // what the attempt was chosen by may change. False: it must not begin any more.
  bool prepareHead();
  // The host may have gone or moved while the connection was awaited.
  bool hostIsHere() const;

  std::size_t total() const { return prefix_.size() + (request_.body ? request_.body->size() : 0); }
  // All of the request is with the kernel: from here on it may run.
  bool written() const { return begun_ && sent_ == total() && (!request_.rest || rest_done_); }

  std::array<boost::asio::const_buffer, 2> unsent() const;

  // The kernel is handed the bytes here and not by a composed operation, whose count comes with its handler:
  // a break that is noticed between the two would pass a request that may run for one that never can.
  void write();

  // The next piece of a long body. False: there is none now.
  bool refill();

  // A long body must move, unless it is the client that does not: it may neither send nor take.
  void watchLong();
  void lookAfterLong();

  // ---- reading ----

  void armRead();

  void onReadable(boost::system::error_code ec);

  void onReadEnd(boost::system::error_code ec);

  // It may have run once the host can have the whole request.
  void broken() { end(written() ? Result::Reset : Result::RequestIncomplete); }

  // What came is no answer to this request. Guards against noise, heads that can't be read or don't end,
  // lengths that contradict one another or exceed what the protocol has, and 1xx without end. It should catch
  // whatever else a host may say out of turn; it would harm if hosts sent answers beyond the protocol's 64
  // KiB.
  void spoilt() { end(written() ? Result::InvalidResponse : Result::RequestIncomplete); }

  // An answer that has begun must come to its end: it may not stand still, nor come slower than a least pace,
  // so that an endless trickle is no way round it. Guards against lengths that promise more than comes; it
  // would harm hosts that write an answer while they work on it. One that may be long is passed on instead.
  void watchAnswer();
  Time answerDue() const;
  void lookAfterAnswer();

  // More than is held, or the head says that there will be, or it has no length and is slow: it belongs to
  // the client from here on.
  bool becomesLong() const;
  // Its head does not say that it can be held.
  bool mayBeLong() const;
  // The time is over in which it would come whole if it were short; but then its host may go on writing.
  void onSlowLongAnswer();

  void beginLong();
  void abandoned() { later(Result::Cancelled); }

  void readOn();
  // Room for the next piece of an answer that is held. False: it has to wait.
  bool reserveAnswer();
  std::size_t mostToRead();
  void countAnswer();
  // There may be room for what it waits to read.
  void onMemoryFree();
  // Its head or its piece of a long body, with what that holds.
  void setPrefix(std::string prefix);

  // So far as it has come, what a head of HTTP/1 begins with: noise need not hold a line's end.
  bool beginsLikeAnswer() const;

  void parse();

  void complete();

  Result resultOf() const;

  // The one place where an attempt or probe ends.
  void end(Result result);

  Upstream& up_;
  const std::uint64_t id_;
  const std::string uid_;
  const Endpoint endpoint_;
  Socket socket_;
  ReadBuffer in_;
  std::optional<ResponseParser> parser_;
  AttemptRequest request_;
  std::string prefix_;  // written before request_.body: the head, or a later piece of a long body
  std::shared_ptr<BodyPipe> stream_;  // of a long answer that is coming
  // Of `prefix_`; of `in_` and the parser's body.
  MemoryShare request_memory_, answer_memory_;
  std::size_t sent_ = 0;    // bytes of the request, of a long one of this piece, that the kernel has taken
  std::uint64_t come_ = 0;  // bytes of the answer
  Time moved_ = 0;          // when a byte went or came last
  AttemptId attempt_ = 0;
  std::uint64_t turn_ = 0;  // attempts and probes so far: tells late callbacks of earlier ones
  Time started_ = 0, answer_begun_ = 0, idle_since_ = 0;
  Time memory_wait_since_ = 0, memory_wait_ = 0;  // of this answer: now, and so far
  int interims_ = 0;
  bool slow_long_answer_ = false;
  bool begun_ = false;             // the kernel has the request's first byte
  bool late_ = false;              // that had to wait
  bool rest_done_ = false;         // the last piece of a long request is in request_
  bool waits_for_memory_ = false;  // to read more of an answer that is held
  bool waits_for_client_ = false;  // to send more of its request, or to take more of its answer
  bool connected_ = false, busy_ = false, probe_ = false, closed_ = false, reading_ = false;
};

}  // namespace client_proxy
