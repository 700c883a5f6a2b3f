// Runs all access to a replica's database on a dedicated thread, in the order of the calls.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "replica/store.h"
#include "tasks/loop.h"
#include "tasks/mailbox.h"

namespace client_proxy::replica {

/// The contents of a database when it was opened.
struct LoadedState {
  consensus::DurableState state;
  std::vector<Change> recent;  ///< the last changes, in ascending order
};

class DiskTask {
 public:
  /// Results, delivered on `callback_io` in the order of the calls.
  struct Callbacks {
    std::function<void()> written;
    std::function<void(const sqlite::Error&)> write_failed;  ///< a write failed; none of it is on disk
    std::function<void(std::uint64_t token, std::vector<Change>)>
        changes_read;  ///< empty: there are none, or the read failed
    std::function<void(LoadedState)> opened;
    std::function<void(const sqlite::Error&)> open_failed;
  };

  DiskTask(boost::asio::io_context& callback_io, std::string folder, ReplicaId self, std::size_t kept_changes,
           Callbacks callbacks);
  ~DiskTask();
  DiskTask(const DiskTask&) = delete;
  DiskTask& operator=(const DiskTask&) = delete;

  /// Opens the database on the caller's thread and calls back before it returns. To be called before any
  /// other function.
  void openSync();
  /// Returns false if the queue is full; the command is dropped then. After a failed write, further writes
  /// are skipped until the file is reopened.
  bool write(std::vector<consensus::Write> writes);
  bool read(std::uint64_t token, Version from, std::size_t max_count, std::size_t max_text_bytes);
  /// Reopens the file, or opens the one that has replaced it.
  void open();
  /// For tests: limits the database to `max_pages` pages to simulate a full disk; 0 removes the limit.
  void limitPages(int max_pages);

  static constexpr std::size_t kMaxQueued = 1024;
  static constexpr std::size_t kMaxRecent = 16;
  static constexpr std::size_t kMaxRecentTextBytes = std::size_t{16} << 20;

 private:
  struct WriteCommand {
    std::vector<consensus::Write> writes;
  };
  struct ReadCommand {
    std::uint64_t token = 0;
    Version from = 0;
    std::size_t max_count = 0, max_text_bytes = 0;
  };
  struct OpenCommand {};
  struct LimitPagesCommand {
    int max_pages = 0;
  };
  struct StopCommand {};
  using Command = std::variant<WriteCommand, ReadCommand, OpenCommand, LimitPagesCommand, StopCommand>;

  boost::asio::awaitable<void> processCommands();
  void execute(const WriteCommand& command);
  void execute(const ReadCommand& command);
  void execute(const OpenCommand& command);
  void execute(const LimitPagesCommand& command);
  void execute(const StopCommand&) {}
  std::function<void()> tryOpen();
  void postCallback(std::function<void()> call);

  boost::asio::io_context& callback_io_;
  const std::string folder_;
  const ReplicaId self_;
  const std::size_t kept_changes_;
  const Callbacks callbacks_;
  std::unique_ptr<Store> store_;  // used by the disk thread only, once it runs
  bool usable_ = false;           // likewise; the file is open and no write has failed since
  int page_limit_ = 0;            // likewise
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // used on callback_io_ only
  tasks::Loop loop_;
  tasks::Mailbox<Command> commands_;
};

}  // namespace client_proxy::replica
