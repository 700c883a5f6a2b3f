// Token bucket that bounds what one member sends. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>

#include "fleet/types.h"

namespace client_proxy::fleet {

// Probes and their replies are always sent, so the balance may become negative, by at most one second's worth
// of bytes. Gossip and anti-entropy check `has()` first. All amounts are bytes.
class SendBudget {
 public:
  explicit SendBudget(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  // Sets the balance to `capacity`.
  void fill(double capacity) { balance_ = capacity; }
  // Adds the bytes accrued over `elapsed`, up to `capacity`; a negative time counts as zero.
  void refill(Time elapsed, double capacity) {
    const double seconds = static_cast<double>(std::max<Time>(0, elapsed)) / static_cast<double>(kSecond);
    balance_ = std::min(capacity, balance_ + seconds * bytes_per_second_);
  }
  void spend(std::size_t bytes) {
    balance_ = std::max(balance_ - static_cast<double>(bytes), -bytes_per_second_);
  }
  // Whether at least `bytes` may be sent now.
  bool has(double bytes) const { return balance_ >= bytes; }

 private:
  double bytes_per_second_;
  double balance_ = 0;
};

}  // namespace client_proxy::fleet
