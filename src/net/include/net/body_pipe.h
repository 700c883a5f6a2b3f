// A body too long to be held, on its way: one side puts in what comes, the other takes it out.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "net/clock.h"

namespace client_proxy {

// Both sides run on one loop. Whoever puts asks hasRoom() before it reads more, so that no more than a window
// and one read is held, however long the body is. Callbacks are called from within put(), take() and the
// like, and may call back; each side sets its own and takes it away before it goes.
class BodyPipe {
 public:
  static constexpr std::size_t kWindow = std::size_t{32} * 1024;
  // Of an upload that nobody has begun to take: it is read ahead, since the end of its client's connection is
  // seen only when all before it has been read.
  static constexpr std::size_t kUploadReadAhead = std::size_t{1024} * 1024;
  enum class End : std::uint8_t { Open, Whole, Broken };

  // `length`: of the whole body, with what was held before the pipe; nothing: it is not known beforehand.
  // `read_ahead`: the window until something is taken.
  explicit BodyPipe(std::optional<std::uint64_t> length, std::size_t read_ahead = kWindow)
      : length_(length), read_ahead_(read_ahead) {}
  BodyPipe(const BodyPipe&) = delete;
  BodyPipe& operator=(const BodyPipe&) = delete;

  std::optional<std::uint64_t> length() const { return length_; }

  // ---- who puts ----

  bool hasRoom() const { return held_.size() < (started_ ? kWindow : read_ahead_); }
  std::size_t held() const { return held_.size(); }
  // Nothing is put in since this time, although there is more; nothing: all that comes is put in.
  void pausedSince(std::optional<Time> time) { paused_since_ = time; }
  bool paused() const { return paused_since_.has_value(); }
  void put(std::string_view piece) {
    if (end_ != End::Open || abandoned_ || piece.empty()) return;
    held_.append(piece);
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

  // All that is held; empty: nothing now. A broken body gives what came before it broke.
  std::string take() {
    if (!held_.empty() && !std::exchange(started_, true)) call(on_started_);
    std::string piece = std::exchange(held_, {});
    if (piece.size() >= kWindow && end_ == End::Open) call(on_room_);
    return piece;
  }
  // What take() has not given out yet comes first.
  End end() const { return held_.empty() ? end_ : End::Open; }
  // Something has been taken: it can't be sent once more.
  bool started() const { return started_; }
  Time pausedFor(Time now) const { return paused_since_ ? now - *paused_since_ : 0; }
  // From now on what was held before the pipe is of no use either.
  void onStarted(std::function<void()> callback) { on_started_ = std::move(callback); }
  void onMore(std::function<void()> callback) { on_more_ = std::move(callback); }
  void giveUp() {
    if (std::exchange(abandoned_, true) || end_ != End::Open) return;
    held_ = std::string();
    call(on_abandoned_);
  }

 private:
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
  std::string held_;
  End end_ = End::Open;
  bool started_ = false, abandoned_ = false;
  std::function<void()> on_more_, on_room_, on_abandoned_, on_started_;
};

}  // namespace client_proxy
