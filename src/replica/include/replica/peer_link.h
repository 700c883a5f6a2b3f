// Sends consensus messages to one peer, in batches over one persistent connection. Messages are lost if the
// connection fails.
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

  /// Queues the message. Drops the oldest queued one if there are more than kMaxQueued.
  void send(consensus::Message message);

  /// Timeout of one request to the peer; one second is added for each MiB of its body.
  static constexpr std::chrono::milliseconds kCallTimeout{1000};
  static constexpr std::size_t kMaxQueued = 256;

 private:
  class Connection;
  void sendQueued();
  std::vector<consensus::Message> takeBatch();

  boost::asio::io_context& io_;
  const Endpoint peer_;
  const distribution::ReplicaId self_, to_;
  const WallClock wall_clock_;
  std::deque<consensus::Message> queue_;
  std::shared_ptr<Connection> connection_;
};

}  // namespace client_proxy::replica
