// The one clock: Unix microseconds read once at start, plus the steady clock's advance. Steps of the wall
// clock (a time server's correction) therefore never reach deadlines, and a host's boot time compares with
// it.
#pragma once

#include <chrono>

#include "load_balancer/balancer.h"

namespace client_proxy {

using load_balancer::Time;

constexpr Time kMillisecond = 1'000;
constexpr Time kSecond = 1'000'000;
constexpr Time kNever = INT64_MAX;

class Clock {
 public:
  // Its times less those of the machine's monotonic clock, which all processes of a machine share: it tells
  // how far the clocks of two of them are apart.
  Time offset() const { return unix_at_start_ - micros(steady_at_start_.time_since_epoch()); }
  Time now() const { return unix_at_start_ + micros(std::chrono::steady_clock::now() - steady_at_start_); }

 private:
  template <typename Duration>
  static Time micros(Duration d) {
    return std::chrono::duration_cast<std::chrono::microseconds>(d).count();
  }
  std::chrono::steady_clock::time_point steady_at_start_ = std::chrono::steady_clock::now();
  Time unix_at_start_ = micros(std::chrono::system_clock::now().time_since_epoch());
};

}  // namespace client_proxy
