// Streams changes to the subscribers that watch a replica. At most one line per subscriber is buffered: a
// change that arrives during a write is sent after it, unless a newer one has replaced it by then.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "distribution/types.h"

namespace client_proxy::replica {

/// The parameters of a request to watch.
struct WatchRequest {
  std::optional<distribution::MemberId> member;
  distribution::Version from = 0;  ///< the version the subscriber has; 0: none
  std::string digest;              ///< of that version's text
};

class Watches {
 public:
  using Change = distribution::Change;
  using Version = distribution::Version;
  struct Source {
    std::function<const Change*()> newest;         ///< null: there is none
    std::function<const Change*(Version)> recent;  ///< null: not cached
    std::function<bool()> quorum;
    std::function<void(distribution::MemberId, bool connected)> connection;  ///< called at begin and end
  };

  /// A subscriber whose connection has not accepted a line within `write_timeout` is disconnected.
  Watches(boost::asio::io_context& io, distribution::ReplicaId self, std::chrono::milliseconds write_timeout,
          Source source);
  ~Watches();
  Watches(const Watches&) = delete;
  Watches& operator=(const Watches&) = delete;

  /// Takes ownership of the socket and starts the reply. Returns false if there are kMaxWatches already.
  bool add(boost::asio::ip::tcp::socket socket, WatchRequest request);
  /// To be called after the source's newest change has changed.
  void onChange();
  std::size_t count() const { return watches_.size(); }

  static constexpr std::size_t kMaxWatches = 1000;
  /// Interval of the heartbeat; a subscriber is sent at least one line per interval.
  static constexpr std::chrono::milliseconds kHeartbeat{2000};

 private:
  class Watch;
  using Line = std::shared_ptr<const std::string>;
  // Spreads heartbeats over time: each watch belongs to one group, and each tick handles one group.
  static constexpr std::size_t kHeartbeatGroups = 20;

  void tick();
  // The line that updates a subscriber from this version to the newest change; null if it is up to date or
  // ahead.
  Line lineFor(Version version, const std::string& digest);
  void remove(Watch& watch);

  const distribution::ReplicaId self_;
  const std::chrono::milliseconds write_timeout_;
  const Source source_;
  boost::asio::steady_timer timer_;
  std::list<std::shared_ptr<Watch>> watches_;
  std::size_t next_group_ = 0, tick_ = 0;
  Version lines_version_ = 0;  // the version that lines_ update to
  std::map<std::pair<Version, std::string>, Line> lines_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace client_proxy::replica
