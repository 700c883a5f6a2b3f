// An exponentially decaying average of the number of events per second. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace client_proxy::statistics {

class RateEstimator {
 public:
  using Time = std::int64_t;  // microseconds, of any steady clock

  // `time_constant`: the time, in microseconds, in which an event's weight decays to 1/e.
  explicit RateEstimator(double time_constant) : time_constant_(time_constant) {}
  void start(Time now) { started_ = last_ = now; }
  // `weight`: how many events it counts as.
  void record(Time now, double weight = 1) {
    count_ = count_ * std::exp(-static_cast<double>(now - last_) / time_constant_) + weight;
    last_ = now;
  }
  // Excludes the time span that has just passed, in which no events could be observed.
  void skip(Time span) {
    started_ += span;
    last_ += span;
  }
  // Events per second. Soon after the start it is averaged over the time since then, but at least 0.5 s.
  double perSecond(Time now) const {
    const double age = std::max(0.5e6, static_cast<double>(now - started_));
    const double count = count_ * std::exp(-static_cast<double>(now - last_) / time_constant_);
    return count / (time_constant_ / 1e6 * (1 - std::exp(-age / time_constant_)));
  }

 private:
  const double time_constant_;
  double count_ = 0;  // decayed, as of last_
  Time started_ = 0, last_ = 0;
};

}  // namespace client_proxy::statistics
