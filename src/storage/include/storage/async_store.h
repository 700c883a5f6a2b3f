// The task that owns a proxy's memory on disk: changes in, words that they are on disk out.
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

namespace quinceline::storage {

class AsyncStore {
 public:
  // What it says of itself; called on the loop that it was given.
  struct Words {
    // Each change that was taken, in order. Not ok: it is not on disk, and never will be.
    std::function<void(const Change&, bool ok)> written;
    // The memory is of no use any more, or is again. Empty: it is.
    std::function<void(const std::string& fault)> troubled;
  };

  // Opens the memory and reads it, on this thread. A memory that can't be used leaves memory() empty and
  // fault() says why: nothing is written then, and the member is one without.
  AsyncStore(boost::asio::io_context& home, const std::string& folder, const Store::Owner& owner,
             Words words);
  ~AsyncStore();

  const std::optional<Memory>& memory() const { return memory_; }
  const std::string& fault() const { return fault_; }
  // False: so much waits for the disk already that this is not taken: whoever asks must not say it.
  bool write(Change change);
  // Forgets everything: it is another member's.
  void renounce();
  // How long the disk has been at one thing.
  std::chrono::milliseconds silence() const {
    return loop_ ? loop_->silence() : std::chrono::milliseconds(0);
  }
  std::uint64_t syncs() const { return syncs_; }

  static constexpr std::size_t kMostWaiting = 1024, kAtOnce = 128;

 private:
  struct Renounce {};
  struct End {};  // behind all that was posted before it
  using Order = std::variant<Change, Renounce, End>;
  boost::asio::awaitable<void> work();
  // False: the end was among them.
  bool carryOut(std::vector<Order>& orders);
  void tell(std::vector<Change> changes, bool ok, std::string fault);

  boost::asio::io_context& home_;
  const Words words_;
  std::optional<Memory> memory_;
  std::string fault_;
  std::unique_ptr<Store> store_;  // the task's, once it runs
  std::string told_;              // the task's: the fault that was told last
  std::atomic<std::uint64_t> syncs_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // home's
  std::unique_ptr<tasks::Loop> loop_;
  std::unique_ptr<tasks::Mailbox<Order>> orders_;
};

}  // namespace quinceline::storage
