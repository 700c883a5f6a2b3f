// How many events a second there are, averaged with fading memory. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace client_proxy::statistics {

class RateEstimator {
 public:
  using Time = std::int64_t;  // microseconds, of any steady clock

  // `memory`: the time, in microseconds, in which an event's weight falls to 1/e.
  explicit RateEstimator(double memory) : memory_(memory) {}
  void begin(Time now) { began_ = last_ = now; }
  // `weight`: of the event, where events count for more or less than one.
  void note(Time now, double weight = 1) {
    faded_ = faded_ * std::exp(-static_cast<double>(now - last_) / memory_) + weight;
    last_ = now;
  }
  // A span that has just passed and in which nothing could be observed: it counts for nothing.
  void pause(Time span) {
    began_ += span;
    last_ += span;
  }
  // Early on over the time since the beginning, but for half a second at least.
  double perSecond(Time now) const {
    const double age = std::max(0.5e6, static_cast<double>(now - began_));
    const double faded = faded_ * std::exp(-static_cast<double>(now - last_) / memory_);
    return faded / (memory_ / 1e6 * (1 - std::exp(-age / memory_)));
  }

 private:
  const double memory_;
  double faded_ = 0;
  Time began_ = 0, last_ = 0;
};

}  // namespace client_proxy::statistics
