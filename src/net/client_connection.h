// One client's connection: private to the package.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>

#include "admission/upload_clock.h"
#include "net/server.h"

namespace client_proxy {

// One client's connection. It lives as long as the server lists it or an operation of its socket is out.
class Server::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Server& server, ConnectionId id, Socket socket)
      : server_(server),
        id_(id),
        socket_(std::move(socket)),
        input_memory_(server.memory_, MemoryUse::Request, [this] { onMemoryFree(); }),
        output_memory_(server.memory_, MemoryUse::Answer) {}

  // It has been at rest elsewhere.
  void rest();

  void start();

  // Something has come that was not read yet: the connection is not really idle.
  bool inputWaits();

  void answer(Answer answer);

  // Its answer waits for the host, or the host's next piece is here.
  void passOn();

  // There may be room for what it waits to read.
  void onMemoryFree();

  // The limits of time. None is renewed by a byte more or less: whoever trickles gets no longer than whoever
  // is silent. They would harm clients on slow lines; the protocol's are on the same machine.
  void overdue(RejectionReason reason);

  // At rest and not wanted any more: its client hears of it by the end of our sending. To close now would
  // reset the connection where a request is on its way, and what we sent last might go with it.
  void retire(RejectionReason reason);

  // Gives its socket away where nothing has been read of a request. What waits in the kernel goes with it.
  void handOn();

  void close(RejectionReason reason);

 private:
  enum class State { Reading, Waiting, Answering, Lingering, Closed };

  void close() { close(cause_); }

  // Its request has.
  void ended() { server_.open_requests_ -= std::exchange(taken_, false) ? 1U : 0U; }

  void tellStreamed(bool whole);

  void nextRequest();

  // A request's first byte is here.
  void begin();

  // ---- reading ----

  // Waiting comes first and reading after it, so that connections on which nothing comes hold no buffer.
  void armRead();

  void onReadable(boost::system::error_code ec);

  // While the answer is awaited: reads ahead, and sees whether the client leaves.
  void awaitMoreOrEnd();

  // Nothing more is read, yet a client that leaves is to be noticed.
  void lookForEnd();
  // While nothing is read of what it sends.
  void onClientLeft();

  void onReadEnd(boost::system::error_code ec);

  // What was begun to be passed on will never be whole.
  void abandonUpload();

  void parse();

  // False: the request was answered by its head alone.
  bool acceptHead();

  // Reads more of the request, or stops reading until there is room for it.
  void readOn();
  // How much is read at a time in this state; 0: there is no room for any more now.
  std::size_t mostToRead();

  // What is held of the request that is being read.
  std::size_t inputMemory() const { return in_.capacity() + (parser_ ? parser_->memory() : 0); }
  void countInput();
  void awaitMemory();
  // Returns when its client stops waiting if it has sent all of the request; kNever if it can't have.
  Time pauseReading();

  void pauseUpload();
  // The rest of a long body stays in the kernel.
  bool uploadPaused() const { return uploading_ && pipe_->paused(); }

  // The host's side has taken what waited for it.
  void uploadMayGoOn();

  // More than is held: from here on it is passed on as it comes.
  void beginLong();

  void completeLong();

  Time lastByteAt();
  ClientRequest takeRequest();

  void complete();

  void refuse(int status);

  // ---- writing ----

  void write();

  void onWritten(boost::system::error_code ec);

  void onAnswered();

  // Closing now could reset the connection and destroy the answer while it is under way: end the sending,
  // then take what the client still sends, and forget it, until it has closed too or the time is up.
  void linger();

  void discard();

  Server& server_;
  const ConnectionId id_;
  Socket socket_;
  State state_ = State::Reading;
  RejectionReason cause_ = RejectionReason::None;  // of its end, where that was decided here
  bool resting_ = true;                            // no request is open here
  ReadBuffer in_;
  std::unique_ptr<RequestParser> parser_;        // only while a request comes: it is large
  std::string out_;                              // the answer
  MemoryShare input_memory_, output_memory_;     // of `in_` and `parser_`, and of `out_`
  std::shared_ptr<BodyPipe> pipe_;               // of the long body that is being read
  std::shared_ptr<BodyPipe> rest_;               // of the long answer that is being written
  std::optional<admission::UploadClock> clock_;  // of the body that is being read
  Time client_wait_ = 0;                         // of the request that is being read, from its last byte on
  // Since when parts of the request may lie unread, perhaps its last byte among them: the client's time may
  // be running. Nothing: all that had come was read.
  std::optional<Time> unread_since_;
  ExchangeId exchange_ = 0;
  ExchangeId streamed_ = 0;  // whose long answer is being written; 0: none
  bool head_seen_ = false;
  bool taken_ = false;  // its request is whole and has not ended
  bool old_version_ = false, close_ = false;
  bool uploading_ = false;  // a long body: its request is with the sink already
  bool writing_ = false, chunked_ = false;
  bool reading_ = false, waits_for_memory_ = false;
  bool discards_ = false;  // what the client still sends; it has its last answer, or waits for it
  bool drained_ = false;   // the last read took all that had come
  bool looking_ = false;   // a timer for lookForEnd() is set
};

}  // namespace client_proxy
