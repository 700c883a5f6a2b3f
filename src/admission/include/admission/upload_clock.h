// How long a client may take to send a body. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>

#include "admission/rejection_reason.h"

namespace client_proxy::admission {

// A body may take as long as its length asks for at the least pace, but may not stand still. Guards against
// clients that send half and then nothing, or a byte now and then, for good; it would harm lines slower than
// the least pace, which kiosks do not have. While the proxy itself does not read, no time passes.
class UploadClock {
 public:
  static constexpr Time kStill = 2'000'000;        // between two reads at most
  static constexpr Time kGrace = 2'000'000;        // on top of what the pace allows
  static constexpr double kLeastPace = 16 * 1024;  // bytes a second

  explicit UploadClock(Time now) : begun_(now), last_(now) {}

  void onBytes(Time now, std::size_t bytes) {
    last_ = now;
    bytes_ += bytes;
  }
  void pause(Time now) {
    if (paused_since_ == kRuns) paused_since_ = now;
  }
  void resume(Time now) {
    if (paused_since_ == kRuns) return;
    const Time pause = now - paused_since_;
    begun_ += pause;
    last_ += pause;
    paused_since_ = kRuns;
  }
  // When it is too late, if nothing comes until then. Never, while it is paused.
  Time due() const {
    if (paused_since_ != kRuns) return std::numeric_limits<Time>::max();
    const auto earned = static_cast<Time>(static_cast<double>(bytes_) / kLeastPace * 1e6);
    return std::min(last_ + kStill, begun_ + kGrace + earned);
  }

 private:
  static constexpr Time kRuns = std::numeric_limits<Time>::min();
  Time begun_, last_, paused_since_ = kRuns;
  std::uint64_t bytes_ = 0;
};

}  // namespace client_proxy::admission
