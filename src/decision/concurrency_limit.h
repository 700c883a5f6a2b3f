// An adaptive limit on requests in flight, led by how late answers come. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cmath>

namespace load_balancer::decision {

// Slower answers fill a limit on requests in flight at once, before any of them has come, and retries do not
// add to what it lets through; a fixed part of arrivals, refused, does neither. Below one request in flight
// it acts by chance, so that many clients with little traffic can hold back as well.
class ConcurrencyLimit {
 public:
  // Of arrivals, refused at most: some have to go on, to find out whether the overload is over.
  static constexpr double kMostRefused = 0.95;

  // An answer has come. `slack`: how far it was from being late, as a part of the lateness that is aimed at:
  // 1 if it was prompt, below 0 if later than that. `mean_in_flight`: requests in flight that an arrival met
  // of late, itself among them.
  void adapt(double slack, double mean_in_flight) {
    const double used = std::max(1.0, mean_in_flight);
    mean_slack_ += kMeanGain * (slack - mean_slack_);
    // Late on average: what is used is too much. A single late answer is no overload.
    if (mean_slack_ < 0) limit_ = std::min(limit_, used + kCutSpare * std::sqrt(used));
    // A limit that is not used proves nothing: it grows no further than chance makes use of it.
    if (slack > 0 && limit_ >= used + kSpare * std::sqrt(used)) return;
    // While much is refused few answers come: each then counts for those that were not asked for.
    const double step = slack > 0 ? kStep / std::sqrt(1 - refused_) : kStep;
    limit_ = std::max(limit_ + step * slack * std::max(1.0, limit_), 1 - kMostRefused * kLeastRamp);
  }

  // A request arrives while so many are in flight: the chance by which to refuse it, from none at the limit
  // to nearly all at half as much again.
  double onArrival(double in_flight) {
    const double ramp = std::max(kLeastRamp, limit_ / 2);
    const double part = std::clamp((in_flight + 1 - limit_) / ramp, 0.0, kMostRefused);
    refused_ += kRefusedGain * (part - refused_);
    return part;
  }
  // The same, averaged over the last arrivals.
  double refused() const { return refused_; }

 private:
  static constexpr double kUnlimited = 1e6;  // until answers come late
  static constexpr double kStep = 0.02;  // of the limit, for a prompt answer; four times that for the latest
  static constexpr double kSpare = 2;    // deviations of a Poisson number: one arrival in forty meets more
  static constexpr double kCutSpare = 0.5;  // the same: what is used is an average, arrivals come in bunches
  static constexpr double kMeanGain = 0.1;  // over some ten answers
  static constexpr double kLeastRamp = 2;   // requests: at a limit of one, two at once may be chance
  static constexpr double kRefusedGain = 0.05;  // over some twenty arrivals

  double limit_ = kUnlimited;
  double mean_slack_ = 0;
  double refused_ = 0;
};

}  // namespace load_balancer::decision
