// The HTTP server of a replica: serves subscribers, commands and peers, and passes their requests to the
// engine (docs/design-distribution.md).
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "consensus/types.h"
#include "distribution/types.h"

namespace client_proxy::replica {

struct PeerSettings {
  distribution::ReplicaId id = 0;
  boost::asio::ip::tcp::endpoint endpoint;
};

struct Settings {
  distribution::ReplicaId id = 1;
  std::string region;  ///< may be empty
  boost::asio::ip::tcp::endpoint listen;
  std::string folder;               ///< contains replica.db; created if it does not exist
  std::vector<PeerSettings> peers;  ///< all other replicas
  std::function<void(const std::string&)> log = [](const std::string&) {};
  /// Milliseconds since the Unix epoch; defaults to the system clock.
  std::function<std::int64_t()> wall_clock = {};
  /// Timing of the consensus protocol. `self` and `others` are set from `id` and `peers`.
  consensus::Rules rules = {};
  /// A subscriber whose connection has not accepted a line within this time is disconnected.
  std::chrono::milliseconds slow_subscriber_timeout{10'000};
};

class ReplicaServer {
 public:
  /// Starts to listen and to take part in the consensus. A database that can't be used is reported in the
  /// status and the log, and opening it is retried. Throws std::runtime_error if the address can't be
  /// listened on.
  ReplicaServer(boost::asio::io_context& io, Settings settings);
  ~ReplicaServer();
  ReplicaServer(const ReplicaServer&) = delete;
  ReplicaServer& operator=(const ReplicaServer&) = delete;

  boost::asio::ip::tcp::endpoint localEndpoint() const;
  distribution::Status status() const;
  /// The number of subscribers that watch.
  std::size_t watches() const;
  /// For tests: limits the database to `max_pages` pages to simulate a full disk; 0 removes the limit.
  void limitPagesForTests(int max_pages);

  /// A larger difference from a peer's wall clock is reported as a fault in the status.
  static constexpr std::int64_t kMaxClockSkewMs = 60'000;
  /// Maximum number of open connections, not counting watches.
  static constexpr std::size_t kMaxSessions = 1200;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace client_proxy::replica
