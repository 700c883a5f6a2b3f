// Durable storage as a task with a thread of its own: changes are queued, and callbacks report when they are
// on disk.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "storage/store.h"
#include "tasks/loop.h"
#include "tasks/mailbox.h"

namespace client_proxy::storage {

// A Store that does not block its caller.
class AsyncStore {
 public:
  // Called on the io_context that was passed in.
  struct Callbacks {
    // For each accepted change, in order. `ok` is false if it is not on disk and never will be.
    std::function<void(const Change&, bool ok)> written;
    // Writing has begun to fail, for this reason; or works again, with an empty reason.
    std::function<void(const std::string& fault)> fault_changed;
  };

  // Opens the file in `folder` and loads it, on the calling thread. If that fails, contents() is empty,
  // fault() gives the reason, and write() accepts nothing. Callbacks run on `callback_io`.
  AsyncStore(boost::asio::io_context& callback_io, const std::string& folder, const Store::Owner& owner,
             Callbacks callbacks);
  // Waits until all queued changes are written; if the queue is full, those not yet begun are dropped. No
  // callback is called any more.
  ~AsyncStore();

  // As loaded by the constructor; later changes are not included.
  const std::optional<Contents>& contents() const { return contents_; }
  // Why the constructor could not use the file; empty if it could.
  const std::string& fault() const { return fault_; }
  // Queues a change. False if it was not accepted, since the file can't be used or kMaxQueued others wait:
  // the caller must not act as if it were stored.
  bool write(Change change);
  // Queues the removal of all contents, which belong to another member; a new installation begins.
  void discard();
  // How long the task has been busy with one write; zero below 200 ms, the resolution of the measurement.
  std::chrono::milliseconds busyFor() const {
    return loop_ ? loop_->silence() : std::chrono::milliseconds(0);
  }
  // The number of commits to disk since the start.
  std::uint64_t syncs() const { return syncs_; }

  // Changes in the queue, and changes in one commit, at most.
  static constexpr std::size_t kMaxQueued = 1024, kMaxBatch = 128;

 private:
  struct Discard {};
  struct End {};  // processed after all that was queued before it
  using Request = std::variant<Change, Discard, End>;
  boost::asio::awaitable<void> work();
  // False if End was among them.
  bool process(std::vector<Request>& requests);
  // Posts the callbacks for these changes to callback_io_.
  void report(std::vector<Change> changes, bool ok, std::string fault);

  boost::asio::io_context& callback_io_;
  const Callbacks callbacks_;
  std::optional<Contents> contents_;
  std::string fault_;
  std::unique_ptr<Store> store_;  // used only by the task, once it runs
  std::string reported_fault_;    // used only by the task
  std::atomic<std::uint64_t> syncs_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // used only on callback_io_
  std::unique_ptr<tasks::Loop> loop_;
  std::unique_ptr<tasks::Mailbox<Request>> requests_;
};

}  // namespace client_proxy::storage
