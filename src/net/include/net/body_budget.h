// How much memory request bodies may hold, all together.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

#include "net/http.h"

namespace client_proxy {

class BodyShare;

// Bodies are kept until their request is over, since the module may repeat it. Large ones grow piece by piece
// in a shared part; when that is full, reading stops and they wait in turn. The first that waits may use the
// reserve, which is as large as the largest body and is used by one body at a time: hence there is always one
// that can be completed, and half-read bodies cannot lock one another out. Small ones pass free of this:
// their number is bounded by that of connections, and they must not stand behind uploads.
class BodyBudget {
 public:
  static constexpr std::size_t kPiece = std::size_t{32} * 1024;  // asked for at a time
  static constexpr std::size_t kFree = std::size_t{16} * 1024;

  explicit BodyBudget(std::size_t bytes) : shared_limit_(bytes > kMostBody ? bytes - kMostBody : 0) {}

  // Called when somebody who waits may go on; wakeWaiting() is then to be called, but not from within.
  void onRoom(std::function<void()> callback) { on_room_ = std::move(callback); }
  void wakeWaiting();

  std::size_t used() const { return shared_; }
  std::size_t waiting() const { return waiting_.size(); }

 private:
  friend class BodyShare;

  bool pieceFits() const { return shared_ + kPiece <= shared_limit_; }
  // For one more piece, without anybody who waits being passed over.
  bool hasRoom() const { return waiting_.empty() && pieceFits(); }

  // Room for one more piece. False: the share waits until it is woken.
  bool grow(BodyShare* share, std::size_t& held) {
    if (reserve_user_ == share) return true;
    const bool first = waiting_.empty() || std::exchange(called_, nullptr) == share;
    if (first && pieceFits()) {
      shared_ += kPiece;
      held += kPiece;
      return true;
    }
    waiting_.push_back(share);
    // With nobody on the reserve it can go on at once, but in turn.
    if (reserve_user_ == nullptr && on_room_) on_room_();
    return false;
  }

  void release(BodyShare* share, std::size_t held) {
    shared_ -= held;
    if (reserve_user_ == share) reserve_user_ = nullptr;
    std::erase(waiting_, share);
    if (!waiting_.empty() && on_room_) on_room_();
  }

  std::size_t shared_limit_, shared_ = 0;
  const BodyShare* reserve_user_ = nullptr;
  const BodyShare* called_ = nullptr;  // woken just now: it does not stand behind those that wait
  std::deque<BodyShare*> waiting_;
  std::function<void()> on_room_;
};

// One body's part, given back when the last holder of the body lets it go.
class BodyShare {
 public:
  BodyShare(std::shared_ptr<BodyBudget> budget, std::function<void()> wake)
      : budget_(std::move(budget)), wake_(std::move(wake)) {}
  ~BodyShare() { budget_->release(this, held_); }
  BodyShare(const BodyShare&) = delete;
  BodyShare& operator=(const BodyShare&) = delete;

  // Whether a body of `size` bytes may take in another read; if not, `wake` is called when it may.
  bool mayGrow(std::size_t size) {
    if (size < BodyBudget::kFree || size < granted_) return true;
    if (!budget_->grow(this, held_)) return false;
    granted_ = size + BodyBudget::kPiece;
    return true;
  }
  // The same for what can do without: nothing waits if there is no room, and the reserve is left to others.
  bool mayReadAhead(std::size_t size) {
    if (size < granted_) return true;
    if (!budget_->hasRoom()) return false;
    return mayGrow(size);
  }

 private:
  friend class BodyBudget;
  std::shared_ptr<BodyBudget> budget_;
  std::function<void()> wake_;
  std::size_t held_ = 0, granted_ = 0;
};

inline void BodyBudget::wakeWaiting() {
  while (!waiting_.empty()) {
    const bool room = pieceFits();
    if (!room && reserve_user_ != nullptr) return;
    BodyShare* const share = waiting_.front();
    waiting_.pop_front();
    if (!room) reserve_user_ = share;
    called_ = share;
    share->wake_();
  }
}

}  // namespace client_proxy
