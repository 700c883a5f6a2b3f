// The listeners for staff: one call on a connection, answered at once. Bounded in connections, time and
// bytes; it never shares a limit with clients.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "console/calls.h"

namespace client_proxy::console {

// What the calls do. Each answers at once; false is a no.
class Actor {
 public:
  virtual ~Actor() = default;
  virtual bool canServe() = 0;
  virtual std::string stats() = 0;
  // False: no host has this id.
  virtual bool takeOut(const std::string& host) = 0;
  virtual bool putBack(const std::string& host) = 0;
  virtual void drainClients() = 0;
  virtual void takeClients() = 0;
  // Begins a preview of the pending file on recorded traffic. Returns what is wrong with it; nothing: it has
  // begun.
  virtual std::optional<std::string> beginChangePreview() = 0;
  // Makes a zone the owner of a service. Returns what that overrides; nothing: there is no such service or
  // zone.
  virtual std::optional<std::string> overrideOwner(const std::string& service, const std::string& zone) = 0;
};

class ConsoleServer {
 public:
  using Page = std::function<std::string()>;  // the page as JSON text
  using Endpoint = boost::asio::ip::tcp::endpoint;

  ConsoleServer(boost::asio::io_context& io, Actor& actor);
  ~ConsoleServer();

  // A further GET, answered with JSON.
  void page(std::string path, Page make) { pages_[std::move(path)] = std::move(make); }
  // May be called for several addresses. Throws std::runtime_error with what is wrong.
  void listen(const Endpoint& at);
  // Of the n-th call of listen().
  Endpoint localEndpoint(std::size_t n = 0) const;
  std::size_t connections() const { return sessions_.size(); }

  // Connections at once; the one that is mute for longest gives way to a further one. Besides these there is
  // a descriptor for each listener.
  static constexpr std::size_t kMostConnections = 16;

 private:
  class Session;
  using Sessions = std::list<std::weak_ptr<Session>>;
  struct Reply {
    int status = 200;
    std::string body{}, type{};
    std::string_view allow{};
  };

  void accept(std::size_t listener);
  void acceptLater(std::size_t listener);
  void makeRoom();
  Reply carryOut(const Read& read);

  boost::asio::io_context& io_;
  boost::asio::steady_timer again_;
  Actor& actor_;
  std::deque<boost::asio::ip::tcp::acceptor> listeners_;  // never moved once they listen
  std::map<std::string, Page, std::less<>> pages_;
  Sessions sessions_;  // the oldest first
};

}  // namespace client_proxy::console
