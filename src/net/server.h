// The listener and the clients' connections: parses requests, answers them, closes without losing an answer.
// It knows nothing of hosts or decisions.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <list>
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
};

class Server {
 public:
  struct Limits {
    std::size_t body_bytes = 64 * 1024 * 1024;  // all request bodies together
    std::size_t connections = 512;
    Time request =
        2400 * kMillisecond;  // from a connection's acceptance, or a next request's first byte, to its last
    Time silent = 2400 * kMillisecond;  // from a connection's acceptance to its first byte
    Time idle = 4 * kSecond;            // between an answer and the next request
    Time write = 3 * kSecond;           // for a client to take its whole answer
    Time linger =
        2500 * kMillisecond;  // for it to end its sending after an answer that closes the connection
  };

  Server(boost::asio::io_context& io, Timers& timers, Descriptors& descriptors, Log& log, RequestSink& sink,
         Limits limits);
  ~Server();

  void listen(const boost::asio::ip::tcp::endpoint& endpoint);
  boost::asio::ip::tcp::endpoint localEndpoint() const;

  // A whole answer. Ignored where the exchange is over.
  void answer(ExchangeId id, Answer answer);

  // Graceful shutdown: from now on each answer closes its connection.
  void drain();
  // Closes the connections on which nothing has come.
  void closeIdle();
  // Takes what is left in the accept queue, then closes the listener.
  void stopListening();
  // Gives a descriptor back, of a connection that has rested for `rested`; false: there is none.
  bool closeOneIdle(Time rested = 0);
  std::size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  friend class Connection;
  using Socket = boost::asio::ip::tcp::socket;
  using Resting = std::list<Connection*>;  // without an open request, the one that rests longest first

  void accept();
  void admit(Socket socket);
  void remove(std::uint64_t connection);
  bool closeFirst(Resting& list, Time resting_before);
  void sweep();
  void grantBodies();

  boost::asio::io_context& io_;
  Timers& timers_;
  Descriptors& descriptors_;
  Log& log_;
  RequestSink& sink_;
  Limits limits_;
  std::shared_ptr<BodyBudget> bodies_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> connections_;
  std::unordered_map<ExchangeId, Connection*> exchanges_;  // those that wait for their answer
  Resting silent_, idle_;                                  // before the first request, and after one
  std::array<char, 64 * 1024> discarded_;                  // where unwanted input goes, of all connections
  std::uint64_t next_connection_ = 1;
  ExchangeId next_exchange_ = 1;
  bool draining_ = false;
  bool accepting_ = false;  // an accept is under way and holds a descriptor's place
};

}  // namespace quinceline
