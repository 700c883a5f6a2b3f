// Token bucket that bounds what one member sends. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>

#include "fleet/types.h"

namespace client_proxy::fleet {

// Probes and their answers are sent whatever the balance is, so it may go below zero, by one second's worth
// at most; gossip and repair ask `has()` first. All amounts are bytes.
class SendBudget {
 public:
  explicit SendBudget(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  void fill(double capacity) { balance_ = capacity; }
  // Adds what has accrued over `elapsed`; a negative time counts as none.
  void refill(Time elapsed, double capacity) {
    const double seconds = static_cast<double>(std::max<Time>(0, elapsed)) / static_cast<double>(kSecond);
    balance_ = std::min(capacity, balance_ + seconds * bytes_per_second_);
  }
  void spend(std::size_t bytes) {
    balance_ = std::max(balance_ - static_cast<double>(bytes), -bytes_per_second_);
  }
  bool has(double bytes) const { return balance_ >= bytes; }

 private:
  double bytes_per_second_;
  double balance_ = 0;
};

}  // namespace client_proxy::fleet
