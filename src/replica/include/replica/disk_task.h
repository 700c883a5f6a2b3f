// The task that owns a replica's database, on a thread of its own.
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

/// What a database held when it was opened.
struct Loaded {
  consensus::DurableState state;
  std::vector<Change> newest;  ///< the last of its changes, ascending
};

class DiskTask {
 public:
  /// What it reports, on the loop that it was given, in the order of the calls.
  struct Reports {
    std::function<void()> written;
    std::function<void(const sqlite::Error&)> failed;  ///< of a write: none of it is on disk
    std::function<void(std::uint64_t token, std::vector<Change>)>
        changes;  ///< of a read; empty: none, or it failed
    std::function<void(Loaded)> opened;
    std::function<void(const sqlite::Error&)> not_opened;
  };

  DiskTask(boost::asio::io_context& home, std::string folder, ReplicaId self, std::size_t kept,
           Reports reports);
  ~DiskTask();
  DiskTask(const DiskTask&) = delete;
  DiskTask& operator=(const DiskTask&) = delete;

  /// Opens the database on the caller's thread, before any other call; reports from within.
  void openHere();
  /// False: so much waits for the disk that this is not taken. After one that failed none is carried out
  /// until the file is opened anew.
  bool write(std::vector<consensus::Write> writes);
  bool read(std::uint64_t token, Version from, std::size_t max_count, std::size_t max_text_bytes);
  /// Opens the file anew, or another one in its place.
  void open();
  /// For tests: as where a disk is full; 0: as where it is not.
  void limitPages(int most);

  static constexpr std::size_t kMaxWaiting = 1024;
  static constexpr std::size_t kNewest = 16;
  static constexpr std::size_t kNewestTextBytes = std::size_t{16} << 20;

 private:
  struct WriteOrder {
    std::vector<consensus::Write> writes;
  };
  struct ReadOrder {
    std::uint64_t token = 0;
    Version from = 0;
    std::size_t max_count = 0, max_text_bytes = 0;
  };
  struct OpenOrder {};
  struct LimitOrder {
    int most = 0;
  };
  struct End {};
  using Order = std::variant<WriteOrder, ReadOrder, OpenOrder, LimitOrder, End>;

  boost::asio::awaitable<void> work();
  void carryOut(const WriteOrder& order);
  void carryOut(const ReadOrder& order);
  void carryOut(const OpenOrder& order);
  void carryOut(const LimitOrder& order);
  void carryOut(const End&) {}
  std::function<void()> tryToOpen();
  void report(std::function<void()> call);

  boost::asio::io_context& home_;
  const std::string folder_;
  const ReplicaId self_;
  const std::size_t kept_;
  const Reports reports_;
  std::unique_ptr<Store> store_;  // the task's, once it runs
  bool usable_ = false;           // the same: opened, and no write has failed since
  int page_limit_ = 0;            // the same
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // home's
  tasks::Loop loop_;
  tasks::Mailbox<Order> orders_;
};

}  // namespace client_proxy::replica
