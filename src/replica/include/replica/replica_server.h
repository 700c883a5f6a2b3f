// A replica: the engine behind a listener for subscribers, commands and peers (docs/design-distribution.md).
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
  std::string folder;               ///< replica.db is in it; it is made where it is missing
  std::vector<PeerSettings> peers;  ///< all other replicas
  std::function<void(const std::string&)> log = [](const std::string&) {};
  /// In ms since 1970; where it is not given, the system's.
  std::function<std::int64_t()> wall_clock = {};
  /// Times of the consensus; which replica this is and who the others are is filled in.
  consensus::Rules rules = {};
  /// A subscriber that has not taken a line after so long is closed.
  std::chrono::milliseconds slow_subscriber{10'000};
};

class ReplicaServer {
 public:
  /// Listens and takes part at once; a database that can't be used is a fault in status and log, and is tried
  /// again. Throws std::runtime_error where it can't listen.
  ReplicaServer(boost::asio::io_context& io, Settings settings);
  ~ReplicaServer();
  ReplicaServer(const ReplicaServer&) = delete;
  ReplicaServer& operator=(const ReplicaServer&) = delete;

  boost::asio::ip::tcp::endpoint localEndpoint() const;
  distribution::Status status() const;
  std::size_t watches() const;
  /// For tests: the database may have so many pages at most, as where a disk is full; 0: as many as it needs.
  void limitPagesForTests(int most);

  /// Two wall clocks that are further apart are named in the status.
  static constexpr std::int64_t kMaxClockMsApart = 60'000;
  /// Connections besides those that watch.
  static constexpr std::size_t kMaxSessions = 1200;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace client_proxy::replica
