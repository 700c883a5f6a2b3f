// The core of a replica, without its sockets: runs the consensus node, and executes the node's outputs once
// their writes are on disk.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "consensus/node.h"
#include "replica/disk_task.h"
#include "replica/output_queue.h"
#include "sqlite/database.h"

namespace client_proxy::replica {

/// The fault's name in HTTP replies and in the status.
constexpr std::string_view nameOf(sqlite::Fault fault) {
  constexpr std::string_view kNames[] = {"broken database", "another replica's database", "read-only disk",
                                         "full disk", "failing disk"};
  return kNames[static_cast<std::size_t>(fault)];
}

/// The database can't store the change, so it is not published.
struct DiskFailure {
  sqlite::Fault fault = sqlite::Fault::Other;
  std::string detail;
};
using PublishReply =
    std::variant<distribution::Published, distribution::Conflict, consensus::PublishRefused, DiskFailure>;

class Engine {
 public:
  struct Callbacks {
    std::function<void(ReplicaId to, consensus::Message)> send;
    std::function<void(const Change&)> chosen;  ///< the change is on this disk; in ascending order of version
    std::function<void(const std::string&)> log;
  };
  using PublishCallback = std::function<void(PublishReply)>;
  using ReadCallback = std::function<void(std::optional<Change>)>;

  /// `rules`: the id of this replica, those of the others, and timing.
  Engine(boost::asio::io_context& io, const std::string& folder, consensus::Rules rules, Callbacks callbacks);
  ~Engine();

  void receive(ReplicaId from, const consensus::Message& message);
  /// `done` is called exactly once, unless the engine is destroyed first.
  void publish(distribution::PublishRequest request, std::int64_t published_ms, PublishCallback done);
  /// Calls `done` with the change, or with nullopt if it is not retained, can't be read, or too many reads
  /// are pending.
  void read(Version version, ReadCallback done);

  /// The newest chosen change; null if there is none yet.
  const Change* newest() const { return recent_.empty() ? nullptr : &recent_.back(); }
  /// A change from the cache of recent ones; null if it is not cached.
  const Change* recent(Version version) const;
  /// Null while the database can't be used.
  const consensus::Node* node() const { return node_.get(); }
  bool quorum() const { return node_ && node_->quorum(now()); }
  std::uint64_t startCount() const { return start_count_; }
  consensus::Time now() const;
  /// Why the database can't be used; nullopt if it can.
  const std::optional<DiskFailure>& diskFault() const { return disk_fault_; }
  void limitPagesForTests(int max_pages) { disk_->limitPages(max_pages); }

  /// Interval between attempts to reopen a database that failed.
  static constexpr std::chrono::milliseconds kDiskRetryInterval{1000};

 private:
  void onOpened(LoadedState loaded);
  void onDiskFailed(const sqlite::Error& error);
  void scheduleReopen();
  void onChangesRead(std::uint64_t token, std::vector<Change> changes);
  // Lets `event` call the node, queues the node's output and executes the outputs that are ready.
  template <typename Event>
  void dispatch(Event event);
  void flushOutputs();
  void execute(consensus::Output output);
  void addRecent(const Change& change);
  void completePublish(consensus::PublishToken token, PublishReply reply);
  void setTimer();
  void onTimer();

  boost::asio::io_context& io_;
  const consensus::Rules rules_;
  const Callbacks callbacks_;
  std::unique_ptr<consensus::Node> node_;
  OutputQueue outputs_;
  std::deque<Change> recent_;  // cache of the last chosen changes, ascending
  std::uint64_t start_count_ = 0;
  std::optional<DiskFailure> disk_fault_;
  std::uint64_t next_token_ = 0;
  std::map<consensus::PublishToken, PublishCallback> publishes_;
  std::map<std::uint64_t, std::function<void(std::vector<Change>)>> reads_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<DiskTask> disk_;
};

}  // namespace client_proxy::replica
