// How many connections to a host are worth keeping. No I/O, no clock.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

namespace client_proxy {

// A host takes only so many connections, and what one proxy keeps without use another can't open. Worth
// keeping is what was in use at once lately, and one more for the next request after a pause. A longer memory
// would save handshakes after bursts that are further apart, and hold the host's places meanwhile.
class IdleNeed {
 public:
  void onBusy() { peaks_[0] = std::max(peaks_[0], ++busy_); }
  void onIdle() { busy_ -= busy_ > 0 ? 1 : 0; }  // one of before a host left and came back is not counted
  // To be called once a period.
  void tick() {
    std::copy_backward(peaks_.begin(), peaks_.end() - 1, peaks_.end());
    peaks_[0] = busy_;
  }
  // Beside those that are busy.
  std::size_t worthKeeping() const {
    const std::size_t peak = *std::max_element(peaks_.begin(), peaks_.end());
    return std::max<std::size_t>(peak - busy_, busy_ == 0 ? 1 : 0);
  }

 private:
  std::size_t busy_ = 0;
  std::array<std::size_t, 4> peaks_{};  // the present period first
};

}  // namespace client_proxy
