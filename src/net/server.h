// The listener and the clients' connections: parses requests, answers them, closes without losing an answer.
// It knows nothing of hosts or decisions.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "body_budget.h"
#include "descriptors.h"
#include "http.h"
#include "log.h"
#include "timers.h"

namespace quinceline {

using ExchangeId = std::uint64_t;  // one request on one client connection; never used twice

struct ClientRequest {
  RequestHead head;
  std::shared_ptr<const std::string> body;
  Time received = 0;  // when its last byte came
};

struct Answer {
  int status = 200;
  std::string body;
  std::string content_type;
  std::optional<Time> retry_after;
};

// What the server tells. Calls back into the server are allowed from each.
class RequestSink {
 public:
  virtual ~RequestSink() = default;
  // A request's head has come. Something to refuse it with, before its body is read; nothing: go on.
  virtual std::optional<Answer> onHead(const RequestHead& head) = 0;
  // A whole request; it wants one answer.
  virtual void onRequest(ExchangeId id, ClientRequest request) = 0;
  // The client has gone before its answer was complete. Nothing is owed any more.
  virtual void onClientGone(ExchangeId id) = 0;
  // A streamed answer's buffer has room again.
  virtual void onStreamWritable(ExchangeId id) = 0;
};

class Server {
 public:
  struct Limits {
    std::size_t body_bytes = 64 * 1024 * 1024;  // all request bodies together
    std::size_t connections = 512;
    Time head_stall = 10 * kSecond;  // without a byte of an unfinished head or body
    Time idle = 120 * kSecond;
    Time write_stall = 20 * kSecond;  // a client that takes nothing of its answer
    Time linger = 2 * kSecond;        // how long an answer's last bytes may take to be fetched
  };

  Server(boost::asio::io_context& io, Timers& timers, Descriptors& descriptors, Log& log, RequestSink& sink,
         Limits limits);
  ~Server();

  void listen(const boost::asio::ip::tcp::endpoint& endpoint);
  boost::asio::ip::tcp::endpoint localEndpoint() const;

  // A whole answer. Ignored where the exchange is over.
  void answer(ExchangeId id, const Answer& answer);
  // An answer in pieces: `length` where it is known.
  void beginStream(ExchangeId id, std::optional<std::uint64_t> length, const std::string& content_type);
  // False: the client is slower than the host; wait for onStreamWritable.
  bool stream(ExchangeId id, std::string piece);
  void endStream(ExchangeId id);
  // The rest will not come: the client must be able to tell.
  void breakStream(ExchangeId id);

  // Graceful shutdown: from now on each answer closes its connection.
  void drain();
  // Closes the connections on which nothing has come.
  void closeIdle();
  // Takes what is left in the accept queue, then closes the listener.
  void stopListening();
  // Gives a descriptor back; false: no connection is idle.
  bool closeOneIdle();
  std::size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  friend class Connection;
  using Socket = boost::asio::ip::tcp::socket;

  void accept();
  void admit(Socket socket);
  void remove(std::uint64_t connection);
  bool crowded() const { return connections_.size() * 10 >= limits_.connections * 9; }
  void grantBodies();
  Connection* find(ExchangeId id);

  boost::asio::io_context& io_;
  Timers& timers_;
  Descriptors& descriptors_;
  Log& log_;
  RequestSink& sink_;
  Limits limits_;
  std::shared_ptr<BodyBudget> bodies_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> connections_;
  std::unordered_map<ExchangeId, Connection*> exchanges_;  // those that wait for their answer or its end
  std::uint64_t next_connection_ = 1;
  ExchangeId next_exchange_ = 1;
  bool draining_ = false;
  bool accepting_ = false;  // an accept is under way and holds a descriptor's place
};

}  // namespace quinceline
