// The subscribers that watch a replica. Each is at most one line behind in memory: a change that comes while
// a line is on its way is sent, or replaced by a newer one, once that line is out.
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

/// What a subscriber says of itself when it begins to watch.
struct WatchRequest {
  std::optional<distribution::MemberId> member;
  distribution::Version from = 0;  ///< the version whose text it has
  std::string digest;              ///< of that text
};

class Watches {
 public:
  using Change = distribution::Change;
  using Version = distribution::Version;
  struct Source {
    std::function<const Change*()> newest;         ///< null: none
    std::function<const Change*(Version)> recent;  ///< null: not kept at hand
    std::function<bool()> quorum;
    std::function<void(distribution::MemberId, bool connected)> connection;
  };

  /// A subscriber that has not taken a line after `slow` is closed.
  Watches(boost::asio::io_context& io, distribution::ReplicaId self, std::chrono::milliseconds slow,
          Source source);
  ~Watches();
  Watches(const Watches&) = delete;
  Watches& operator=(const Watches&) = delete;

  /// Answers the request on this socket, which is the watch's from now on. False: there are kMaxWatches.
  bool add(boost::asio::ip::tcp::socket socket, WatchRequest request);
  /// A newer change is there.
  void changed();
  std::size_t count() const { return watches_.size(); }

  static constexpr std::size_t kMaxWatches = 1000;
  /// Between two lines to a subscriber at the least.
  static constexpr std::chrono::milliseconds kHeartbeat{2000};

 private:
  class Watch;
  using Line = std::shared_ptr<const std::string>;
  // All watches are in one of these groups, and each tick is one group's.
  static constexpr std::size_t kGroups = 20;

  void tick();
  // The line that brings a subscriber with this text to the newest change; null: it has it.
  Line lineFrom(Version version, const std::string& digest);
  void end(Watch& watch);

  const distribution::ReplicaId self_;
  const std::chrono::milliseconds slow_;
  const Source source_;
  boost::asio::steady_timer timer_;
  std::list<std::shared_ptr<Watch>> watches_;
  std::size_t next_group_ = 0, tick_ = 0;
  Version lines_of_ = 0;  // the version that lines_ lead to
  std::map<std::pair<Version, std::string>, Line> lines_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace client_proxy::replica
