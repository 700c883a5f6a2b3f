// The memory that the buffers of all client and host connections hold together, and its limit.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>

namespace client_proxy {

class MemoryShare;

// What a buffer is for. Requests leave a part of the limit to answers, since an answer that is received ends
// a request and frees what that holds.
enum class MemoryUse : std::uint8_t { Request, Answer };

// Each connection, request and stream has shares in the account and reports the capacity of its buffers to
// them. What may wait asks for room before it reads more; when there is none it stops reading and waits in
// turn. The first that waits may exceed the limit if nobody does: so there is always one body that can be
// completed, and incomplete ones cannot lock one another out. Small buffers pass at the limit, too: their
// number is bounded by that of connections, and they must not wait behind large ones.
class MemoryAccount {
 public:
  // What a share holds without being asked for room. It does not count towards the limit, so that many small
  // buffers can't keep a large one from being completed.
  static constexpr std::size_t kAlwaysGranted = std::size_t{4} * 1024;
  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max() / 8;

  explicit MemoryAccount(std::size_t limit) : limit_(limit) {}
  static std::shared_ptr<MemoryAccount> unlimited() { return std::make_shared<MemoryAccount>(kUnlimited); }

  // Called when a share that waits may go on; wakeWaiting() is then to be called, but not from within. Not
  // called again until that has been done.
  void onRoom(std::function<void()> callback) { on_room_ = std::move(callback); }
  void wakeWaiting();

  std::size_t limit() const { return limit_; }
  std::size_t used() const { return used(MemoryUse::Request) + used(MemoryUse::Answer); }
  std::size_t used(MemoryUse use) const { return sideOf(use).used; }
  std::size_t waiting() const;

 private:
  friend class MemoryShare;
  struct Side {
    std::size_t used = 0;
    std::size_t limited = 0;  // the part of it that counts towards the limit
    std::deque<MemoryShare*> waiting;
    const MemoryShare* over_limit = nullptr;  // the one share that may exceed the limit
    const MemoryShare* called = nullptr;      // woken just now: it does not stand behind those that wait
  };

  Side& sideOf(MemoryUse use) { return sides_[static_cast<std::size_t>(use)]; }
  const Side& sideOf(MemoryUse use) const { return sides_[static_cast<std::size_t>(use)]; }
  std::size_t limitOf(MemoryUse use) const;
  bool fits(MemoryUse use, std::size_t more) const;
  bool isOver(MemoryUse use) const { return !fits(use, 0); }
  void wakeWaiting(MemoryUse use);
  void onReleased(MemoryUse use);
  void announceRoom();

  std::size_t limit_;
  std::array<Side, 2> sides_;
  std::function<void()> on_room_;
  bool room_announced_ = false;
};

// The part of one holder; given back when it is destroyed.
class MemoryShare {
 public:
  // `wake`: called when a share that had to wait may ask again.
  MemoryShare(std::shared_ptr<MemoryAccount> account, MemoryUse use, std::function<void()> wake = nullptr);
  ~MemoryShare();
  MemoryShare(const MemoryShare&) = delete;
  MemoryShare& operator=(const MemoryShare&) = delete;

  // Whether the holder may hold `bytes` in all. If so, they are counted from now on; if not, it is woken when
  // it may ask again.
  bool reserve(std::size_t bytes);
  // The same for a holder that does not wait.
  bool tryReserve(std::size_t bytes);
  // Whether tryReserve() would succeed; nothing is counted.
  bool hasRoom(std::size_t bytes) const;
  // What the holder holds now, whether there is room for it or not.
  void set(std::size_t bytes);
  void cancelWait();
  std::size_t held() const { return held_; }

 private:
  friend class MemoryAccount;
  static std::size_t limitedPart(std::size_t bytes) {
    return bytes - std::min(bytes, MemoryAccount::kAlwaysGranted);
  }
  bool fits(std::size_t bytes) const {
    return bytes <= held_ || account_->fits(use_, limitedPart(bytes) - limitedPart(held_));
  }

  std::shared_ptr<MemoryAccount> account_;
  const MemoryUse use_;
  std::function<void()> wake_;
  std::size_t held_ = 0;
  std::size_t wanted_ = 0;  // while it waits
};

}  // namespace client_proxy
