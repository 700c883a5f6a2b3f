#include "net/server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <stdexcept>
#include <string>
#include <utility>

#include "client_connection.h"

namespace client_proxy {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr Time kSweep = 100 * kMillisecond;       // how often connections are looked at for what is overdue
constexpr Time kAcceptAgain = 20 * kMillisecond;  // after the system or the budget had no descriptor
constexpr int kAcceptBatch = 64;                  // connections taken before others have their turn
constexpr int kAcceptQueue = 4096;
constexpr int kFailuresPerClose = 10;  // accepts without a descriptor; fewer may pass by themselves

admission::PeerAddress addressOf(const asio::ip::tcp::socket& socket) {
  error_code ec;
  const asio::ip::address address = socket.remote_endpoint(ec).address();
  if (ec) return {};
  return (address.is_v4() ? asio::ip::make_address_v6(asio::ip::v4_mapped, address.to_v4()) : address.to_v6())
      .to_bytes();
}

}  // namespace

Server::Server(asio::io_context& io, Timers& timers, Descriptors& descriptors, Log& log, RequestSink& sink,
               Limits limits, std::shared_ptr<MemoryAccount> memory)
    : io_(io),
      timers_(timers),
      descriptors_(descriptors),
      log_(log),
      sink_(sink),
      limits_(limits),
      memory_(std::move(memory)),
      acceptor_(io),
      gate_(limits.connections) {
  memory_->onRoom([this] { wakeWaitingForMemory(); });
  sweep();
}

Server::~Server() {
  ending_ = true;
  memory_->onRoom(nullptr);
  const auto connections = std::exchange(connections_, {});
  for (const auto& [id, connection] : connections) connection->close(RejectionReason::Shutdown);
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
  if (!ec) acceptor_.listen(kAcceptQueue, ec);
  if (ec) throw std::runtime_error("descriptor " + std::to_string(descriptor) + ": " + ec.message());
  beginAccepting();
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
  acceptor_.listen(kAcceptQueue);
  beginAccepting();
}

void Server::beginAccepting() {
  acceptor_.non_blocking(true);
  // Else accept() waits for the next connection where one was aborted, on this thread and without an end.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
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
      accepts_failed_ = 0;
      if (gate_.full()) closeOneIdle();
      admit(std::move(socket));
      continue;
    }
    descriptors_.release(Side::Clients);
    if (ec == asio::error::would_block) break;
    if (ec == asio::error::no_descriptors || ec.value() == ENFILE) {
      log_.line("accept: " + ec.message(), LogLevel::Warning);
      if (++accepts_failed_ % kFailuresPerClose == 0) closeOneIdle();
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
  closeChosen([&] { return gate_.evictionCandidateOf(now(), peer); });
  return connection;
}

void Server::remove(ConnectionId connection, RejectionReason reason) {
  if (connections_.erase(connection) == 0) return;
  gate_.onClosed(connection, reason);
  descriptors_.release(Side::Clients);
}

bool Server::closeOneIdle(Time rested) {
  return closeChosen([&] { return gate_.evictionCandidate(now(), rested); });
}

// What is chosen but has input waiting is passed over: its reading is under way.
template <typename Choose>
std::shared_ptr<Server::Connection> Server::chosen(Choose choose, RejectionReason* why) {
  while (const auto victim = choose()) {
    const std::shared_ptr<Connection> connection = connections_.at(victim->id);
    if (!connection->inputWaits()) {
      if (why != nullptr) *why = victim->reason;
      return connection;
    }
    gate_.notePendingInput(now(), victim->id);
  }
  return nullptr;
}

// At once: its place is wanted.
template <typename Choose>
bool Server::closeChosen(Choose choose) {
  RejectionReason why = RejectionReason::None;
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
    connection->overdue(admission::ConnectionGate::reasonOf(state));
  }
  timers_.after(kSweep, [this] { sweep(); });
}

void Server::wakeWaitingForMemory() {
  // Not at once: this may be called while a buffer is released.
  asio::post(io_, [memory = memory_] { memory->wakeWaiting(); });
}

void Server::answer(ExchangeId id, Answer answer) {
  const auto it = exchanges_.find(id);
  if (it != exchanges_.end()) it->second->answer(std::move(answer));
}

void Server::drain(bool on) { draining_ = on; }

void Server::closeIdle(Time rested) {
  while (const auto resting = chosen([&] { return gate_.evictionCandidate(now(), rested); }))
    resting->retire(RejectionReason::Shutdown);
}

void Server::stopListening() {
  if (!acceptor_.is_open()) return;
  // Whoever stands in the accept queue would be reset with the listener, and may have sent a request already.
  for (int tries = 0; tries < kAcceptQueue; ++tries) {
    error_code ec;
    Socket socket(io_);
    acceptor_.accept(socket, ec);
    if (ec == asio::error::connection_aborted || ec == asio::error::interrupted) continue;
    if (ec) break;
    descriptors_.takeAnyway(Side::Clients);  // these few are the last
    admit(std::move(socket));
  }
  error_code ignored;
  acceptor_.close(ignored);
}

}  // namespace client_proxy
