// Time limit for a client that sends a request body. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>

#include "admission/rejection_reason.h"

namespace client_proxy::admission {

// The limit for the whole body grows with the bytes received, at a minimum rate, and each pause between two
// reads is limited as well. This guards against clients that stop half-way or send a byte now and then
// without end. Links slower than the minimum rate would be cut off; kiosks do not have those. Time during
// which the proxy itself does not read (between pause() and resume()) is not counted.
class UploadClock {
 public:
  static constexpr Time kMaxStall = 2'000'000;   // longest time between two reads
  static constexpr Time kGrace = 2'000'000;      // in addition to the time that the rate allows
  static constexpr double kMinRate = 16 * 1024;  // bytes per second

  explicit UploadClock(Time now) : started_(now), last_read_(now) {}

  void onBytes(Time now, std::size_t bytes) {
    last_read_ = now;
    bytes_ += bytes;
  }
  void pause(Time now) {
    if (paused_since_ == kNotPaused) paused_since_ = now;
  }
  void resume(Time now) {
    if (paused_since_ == kNotPaused) return;
    const Time paused = now - paused_since_;
    started_ += paused;
    last_read_ += paused;
    paused_since_ = kNotPaused;
  }
  // When the upload is overdue unless further bytes arrive; the maximum while paused.
  Time due() const {
    if (paused_since_ != kNotPaused) return std::numeric_limits<Time>::max();
    const auto allowed = static_cast<Time>(static_cast<double>(bytes_) / kMinRate * 1e6);
    return std::min(last_read_ + kMaxStall, started_ + kGrace + allowed);
  }

 private:
  static constexpr Time kNotPaused = std::numeric_limits<Time>::min();
  Time started_, last_read_, paused_since_ = kNotPaused;
  std::uint64_t bytes_ = 0;
};

}  // namespace client_proxy::admission
