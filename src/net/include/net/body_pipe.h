// A body too long to be held, on its way: one side puts in what comes, the other takes it out.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "net/clock.h"
#include "net/memory_account.h"

namespace client_proxy {

// Both sides run on one loop. Whoever puts asks room() before it reads more, so that no more than a window
// and one read is held, however long the body is, and less where memory is short. Callbacks are called from
// within put(), take() and the like, and may call back; each side sets its own and takes it away before it
// goes.
class BodyPipe {
 public:
  static constexpr std::size_t kWindow = std::size_t{32} * 1024;
  static constexpr std::size_t kPiece = std::size_t{16} * 1024;  // that is read at a time
  // Of an upload that nobody has begun to take: it is read ahead, since the end of its client's connection is
  // seen only when all before it has been read.
  static constexpr std::size_t kUploadReadAhead = std::size_t{1024} * 1024;
  enum class End : std::uint8_t { Open, Whole, Broken };

  // `length`: of the whole body, with what was held before the pipe; nothing: it is not known beforehand.
  // `memory`: where what is held is counted; nothing: nowhere. `read_ahead`: the window until something is
  // taken.
  explicit BodyPipe(std::optional<std::uint64_t> length, std::shared_ptr<MemoryAccount> memory = nullptr,
                    MemoryUse use = MemoryUse::Answer, std::size_t read_ahead = kWindow)
      : length_(length),
        read_ahead_(read_ahead),
        memory_(memory ? std::move(memory) : MemoryAccount::unlimited(), use) {}
  BodyPipe(const BodyPipe&) = delete;
  BodyPipe& operator=(const BodyPipe&) = delete;

  std::optional<std::uint64_t> length() const { return length_; }

  // ---- who puts ----

  // How many bytes may be read and put in now. Where memory is short: few, when what was held is taken.
  std::size_t room() {
    const std::size_t bytes = roomNow();
    full_ = bytes == 0;
    return bytes;
  }
  bool hasRoom() { return room() > 0; }
  // Nothing is put in since this time, although there is more; nothing: all that comes is put in.
  void pausedSince(std::optional<Time> time) { paused_since_ = time; }
  bool paused() const { return paused_since_.has_value(); }
  void put(std::string bytes) {
    if (end_ != End::Open || abandoned_ || bytes.empty()) return;
    held_ += bytes.size();
    if (!pieces_.empty() && pieces_.back().size() + bytes.size() <= kPiece) {
      memory_held_ -= pieces_.back().capacity();
      pieces_.back() += bytes;
    } else {
      pieces_.push_back(std::move(bytes));
    }
    count(memory_held_ + pieces_.back().capacity());
    call(on_more_);
  }
  // That was all, or no more will come though there should.
  void finish() { close(End::Whole); }
  void breakOff() { close(End::Broken); }
  // There is room again after there was none.
  void onRoom(std::function<void()> callback) { on_room_ = std::move(callback); }
  // Nobody takes it any more.
  void onAbandoned(std::function<void()> callback) { on_abandoned_ = std::move(callback); }
  bool abandoned() const { return abandoned_; }

  // ---- who takes ----

  // The next piece of what is held; empty: nothing now. A broken body gives what came before it broke.
  std::string take() {
    if (pieces_.empty()) return {};
    if (!std::exchange(started_, true)) call(on_started_);
    std::string piece = std::move(pieces_.front());
    pieces_.pop_front();
    held_ -= piece.size();
    count(memory_held_ - piece.capacity());
    if (std::exchange(full_, false) && end_ == End::Open) call(on_room_);
    return piece;
  }
  // What take() has not given out yet comes first.
  End end() const { return pieces_.empty() ? end_ : End::Open; }
  // Something has been taken: it can't be sent once more.
  bool started() const { return started_; }
  Time pausedFor(Time now) const { return paused_since_ ? now - *paused_since_ : 0; }
  // From now on what was held before the pipe is of no use either.
  void onStarted(std::function<void()> callback) { on_started_ = std::move(callback); }
  void onMore(std::function<void()> callback) { on_more_ = std::move(callback); }
  void giveUp() {
    if (std::exchange(abandoned_, true) || end_ != End::Open) return;
    pieces_.clear();
    held_ = 0;
    count(0);
    call(on_abandoned_);
  }

 private:
  std::size_t roomNow() const {
    if (held_ >= (started_ ? kWindow : read_ahead_)) return 0;
    if (memory_.hasRoom(memory_held_ + kPiece)) return kPiece;
    return pieces_.empty() ? MemoryAccount::kAlwaysGranted : 0;
  }
  void count(std::size_t bytes) {
    memory_held_ = bytes;
    memory_.set(bytes);
  }
  // A copy: the callback may set another.
  static void call(const std::function<void()>& callback) {
    if (const std::function<void()> copy = callback) copy();
  }
  void close(End end) {
    if (end_ != End::Open) return;
    end_ = end;
    call(on_more_);
  }

  const std::optional<std::uint64_t> length_;
  const std::size_t read_ahead_;
  std::optional<Time> paused_since_;
  std::deque<std::string> pieces_;  // what is held, the oldest first
  std::size_t held_ = 0;            // bytes in them
  std::size_t memory_held_ = 0;     // by their capacity
  MemoryShare memory_;
  End end_ = End::Open;
  bool started_ = false, abandoned_ = false;
  bool full_ = false;  // whoever puts was told that there is no room
  std::function<void()> on_more_, on_room_, on_abandoned_, on_started_;
};

}  // namespace client_proxy
