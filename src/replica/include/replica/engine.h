// A replica without its sockets: the consensus node, the disk, and what both owe to each other.
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

/// As answers to calls show it.
constexpr std::string_view nameOf(sqlite::Fault fault) {
  constexpr std::string_view kNames[] = {"broken database", "another replica's database", "read-only disk",
                                         "full disk", "failing disk"};
  return kNames[static_cast<std::size_t>(fault)];
}

/// The disk can't keep the change; it is not published.
struct DiskRefused {
  sqlite::Fault fault = sqlite::Fault::Other;
  std::string detail;
};
using PublishReply =
    std::variant<distribution::Published, distribution::Conflict, consensus::PublishRefused, DiskRefused>;

class Engine {
 public:
  struct Reports {
    std::function<void(ReplicaId to, consensus::Message)> send;
    std::function<void(const Change&)> chosen;  ///< on this disk; ascending
    std::function<void(const std::string&)> log;
  };
  using PublishDone = std::function<void(PublishReply)>;
  using ReadDone = std::function<void(std::optional<Change>)>;

  /// `rules`: the replica, the others, and times.
  Engine(boost::asio::io_context& io, const std::string& folder, consensus::Rules rules, Reports reports);
  ~Engine();

  void receive(ReplicaId from, const consensus::Message& message);
  /// `done` is called exactly once, unless the engine ends.
  void publish(distribution::PublishRequest request, std::int64_t published_ms, PublishDone done);
  void read(Version version, ReadDone done);

  /// The newest change that is told; null: none yet.
  const Change* newest() const { return newest_.empty() ? nullptr : &newest_.back(); }
  /// One of the newest few; null: it is not among them.
  const Change* recent(Version version) const;
  /// Null: the disk is of no use now.
  const consensus::Node* node() const { return node_.get(); }
  bool quorum() const { return node_ && node_->quorum(now()); }
  std::uint64_t startCount() const { return start_count_; }
  consensus::Time now() const;
  /// Why the disk is of no use now.
  const std::optional<DiskRefused>& diskFault() const { return disk_fault_; }
  void limitPagesForTests(int most) { disk_->limitPages(most); }

  /// Between two tries to use a disk that failed.
  static constexpr std::chrono::milliseconds kRetryDisk{1000};

 private:
  void opened(Loaded loaded);
  void failed(const sqlite::Error& error);
  void openLater();
  void changesRead(std::uint64_t token, std::vector<Change> changes);
  // Has the node work on an event, and carries out what may be.
  template <typename Event>
  void work(Event event);
  void carryOutWhatMay();
  void carryOut(consensus::Output output);
  void keep(const Change& change);
  void answer(consensus::PublishToken token, PublishReply reply);
  void setTimer();
  void onTimer();

  boost::asio::io_context& io_;
  const consensus::Rules rules_;
  const Reports reports_;
  std::unique_ptr<consensus::Node> node_;
  OutputQueue outputs_;
  std::deque<Change> newest_;  // the last few that are told, ascending
  std::uint64_t start_count_ = 0;
  std::optional<DiskRefused> disk_fault_;
  std::uint64_t next_token_ = 0;
  std::map<consensus::PublishToken, PublishDone> publishes_;
  std::map<std::uint64_t, std::function<void(std::vector<Change>)>> reads_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<DiskTask> disk_;
};

}  // namespace client_proxy::replica
