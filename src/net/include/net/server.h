// The listener and the clients' connections: parses requests, answers them, closes without losing an answer.
// It knows nothing of hosts or decisions.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/connections.h"
#include "net/descriptors.h"
#include "net/exchange.h"
#include "net/http.h"
#include "net/log.h"
#include "net/memory_account.h"
#include "net/timers.h"

namespace client_proxy {

// What the server tells. Calls back into the server are allowed from each.
class RequestSink {
 public:
  virtual ~RequestSink() = default;
  // A request's head has come; `room`: its connection is within the bound. Something to refuse it with,
  // before its body is read; nothing: go on.
  virtual std::optional<Answer> onHead(const RequestHead& head, bool room) = 0;
  // How long the client of such a request waits for its answer, from its last byte on.
  virtual Time clientWait(const RequestHead& head) const = 0;
  // A whole request, or the beginning of a long one; it wants one answer.
  virtual void onRequest(ExchangeId id, ClientRequest request) = 0;
  // A long request's last byte has come.
  virtual void onUploaded(ExchangeId id, Time received) = 0;
  // The client has gone before its answer was complete. Nothing is owed any more.
  virtual void onClientGone(ExchangeId id) = 0;
  // The last word on a long answer: the client's machine has all of it, or it broke off on the way.
  virtual void onStreamed(ExchangeId id, bool whole) = 0;
};

class Server {
 public:
  struct Limits {
    admission::ConnectionGate::Limits connections;
  };

  // `memory`: of the buffers of all connections; the server wakes those that wait for room in it.
  Server(boost::asio::io_context& io, Timers& timers, Descriptors& descriptors, Log& log, RequestSink& sink,
         Limits limits, std::shared_ptr<MemoryAccount> memory = MemoryAccount::unlimited());
  ~Server();

  // The limits of connections are others from now on.
  void reconfigure(const admission::ConnectionGate::Limits& limits);
  void listen(const boost::asio::ip::tcp::endpoint& endpoint);
  // The same on a socket that listens already and that others may share. Takes the descriptor over.
  void listenOn(int descriptor);
  boost::asio::ip::tcp::endpoint localEndpoint() const;

  // From now on nobody is accepted here, and `give` gets the descriptor of each client's connection on which
  // no request is open, at once or when its answer is written. False: it could not, and owns it no more
  // than before.
  void handOn(std::function<bool(int descriptor)> give);
  // That is over: accepts again.
  void keepAll();
  // A client's connection on which no request is open, from another process. Takes the descriptor over.
  void adopt(int descriptor);

  // A whole answer. Ignored where the exchange is over.
  void answer(ExchangeId id, Answer answer);

  // While this holds, each answer closes its connection.
  void drain(bool on);
  // Closes the connections on which no request is open, of those that have rested for `rested`.
  void closeIdle(Time rested = 0);
  // Requests that are taken and have not ended: they wait for an answer, or it is being written.
  std::size_t openRequests() const { return open_requests_; }
  // Takes what is left in the accept queue, then closes the listener.
  void stopListening();
  // Gives a descriptor back, of a connection that has rested for `rested`; false: there is none.
  bool closeOneIdle(Time rested = 0);
  std::size_t connections() const { return connections_.size(); }
  const admission::ConnectionGate& gate() const { return gate_; }

 private:
  class Connection;
  friend class Connection;
  using Socket = boost::asio::ip::tcp::socket;
  using RejectionReason = admission::RejectionReason;
  using ConnectionId = admission::ConnectionId;

  Time now() const { return timers_.clock().now(); }
  void beginAccepting();
  void accept();
  void acceptLater();
  void acceptBatch();
  bool takePlace();
  template <typename Choose>
  std::shared_ptr<Connection> chosen(Choose choose, RejectionReason* why = nullptr);
  template <typename Choose>
  bool closeChosen(Choose choose);
  std::shared_ptr<Connection> admit(Socket socket);
  void remove(ConnectionId connection, RejectionReason reason);
  void sweep();
  void wakeWaitingForMemory();

  boost::asio::io_context& io_;
  Timers& timers_;
  Descriptors& descriptors_;
  Log& log_;
  RequestSink& sink_;
  Limits limits_;
  std::shared_ptr<MemoryAccount> memory_;
  boost::asio::ip::tcp::acceptor acceptor_;
  admission::ConnectionGate gate_;
  std::unordered_map<ConnectionId, std::shared_ptr<Connection>> connections_;
  std::unordered_map<ExchangeId, Connection*> exchanges_;  // those that wait for their answer
  std::array<char, std::size_t{64} * 1024> received_;      // of one read, of any connection
  std::vector<admission::ConnectionGate::Overdue> overdue_;
  ExchangeId next_exchange_ = 1;
  std::function<bool(int)> give_;  // not set: nothing is handed on
  std::size_t open_requests_ = 0;
  bool draining_ = false;
  bool ending_ = false;     // nobody is told any more
  bool accepting_ = false;  // the listener is being watched
  bool no_place_ = false;   // connections wait in the queue until somebody leaves
  int accepts_failed_ = 0;  // in a row, for want of a descriptor
};

}  // namespace client_proxy
