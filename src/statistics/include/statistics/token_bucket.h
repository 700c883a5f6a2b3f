// A token bucket that is refilled by events instead of by time. No I/O, no clock.
#pragma once

#include <algorithm>

namespace client_proxy::statistics {

class TokenBucket {
 public:
  // Starts half full. `tokens_per_event`: tokens added by each event.
  TokenBucket(double capacity, double tokens_per_event)
      : capacity_(capacity), tokens_per_event_(tokens_per_event), tokens_(capacity / 2) {}

  void onEvent() { tokens_ = std::min(capacity_, tokens_ + tokens_per_event_); }
  bool empty() const { return tokens_ < 1; }
  // Takes one token; returns false, and takes nothing, if less than one is left.
  bool take() {
    if (empty()) return false;
    tokens_ -= 1;
    return true;
  }
  // Takes one token, or what is left if that is less.
  void takeUpToOne() { tokens_ = std::max(0.0, tokens_ - 1); }

 private:
  double capacity_, tokens_per_event_, tokens_;
};

}  // namespace client_proxy::statistics
