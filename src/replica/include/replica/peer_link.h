// The calls to one peer: messages go out together over one connection that is kept, and are lost where it
// fails.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>

#include "replica/wire.h"

namespace client_proxy::replica {

class PeerLink {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  using WallClock = std::function<std::int64_t()>;

  PeerLink(boost::asio::io_context& io, Endpoint peer, distribution::ReplicaId self,
           distribution::ReplicaId to, WallClock wall_clock);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// The oldest gives way where too many wait.
  void send(consensus::Message message);

  /// For a call of a peer, and a second more for each MiB of it.
  static constexpr std::chrono::milliseconds kTime{1000};
  static constexpr std::size_t kMaxWaiting = 256;

 private:
  class Connection;
  void sendWhatWaits();
  std::vector<consensus::Message> takeTogether();

  boost::asio::io_context& io_;
  const Endpoint peer_;
  const distribution::ReplicaId self_, to_;
  const WallClock wall_clock_;
  std::deque<consensus::Message> waiting_;
  std::shared_ptr<Connection> connection_;
};

}  // namespace client_proxy::replica
