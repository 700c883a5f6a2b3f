// An adaptive limit on requests in flight, which follows how late responses are.
#pragma once

#include <algorithm>
#include <cmath>

namespace load_balancer::policy {

// Reacts at once to slower responses, and retries do not add to what it admits. Below one request in flight
// it acts by chance, so that many clients with little traffic hold back as well.
class ConcurrencyLimit {
 public:
  // Of arrivals: some have to go on, to find out whether the overload is over.
  static constexpr double kMostRejected = 0.95;

  // A response has come. `slack`: how far it was from the target lateness, as a part of it: 1 if it was
  // prompt, below 0 if later. `mean_in_flight`: requests in flight, averaged over arrivals.
  void adapt(double slack, double mean_in_flight) {
    const double used = std::max(1.0, mean_in_flight);
    mean_slack_ += kMeanGain * (slack - mean_slack_);
    // Late on average: what is used is too much. A single late response is no overload.
    if (mean_slack_ < 0) limit_ = std::min(limit_, used + kCutSpare * std::sqrt(used));
    // A limit that is not used proves nothing: it grows no further than chance makes use of it.
    if (slack > 0 && limit_ >= used + kSpare * std::sqrt(used)) return;
    // While much is rejected few responses come: each then counts for those of the rejected as well.
    const double step = slack > 0 ? kStep / std::sqrt(1 - rejected_) : kStep;
    limit_ = std::max(limit_ + step * slack * std::max(1.0, limit_), 1 - kMostRejected * kLeastRamp);
  }

  // Returns the chance by which to reject an arrival: from 0 at the limit to nearly 1 at half as much again.
  double onArrival(double in_flight) {
    const double ramp = std::max(kLeastRamp, limit_ / 2);
    const double part = std::clamp((in_flight + 1 - limit_) / ramp, 0.0, kMostRejected);
    rejected_ += kRejectedGain * (part - rejected_);
    return part;
  }
  // The same, averaged over the last arrivals.
  double rejected() const { return rejected_; }

 private:
  static constexpr double kUnlimited = 1e6;  // until responses are late
  static constexpr double kStep =
      0.02;                            // of the limit, for a prompt response; four times that for the latest
  static constexpr double kSpare = 2;  // deviations of a Poisson number: one arrival in forty meets more
  static constexpr double kCutSpare = 0.5;  // the same: what is used is an average, arrivals come in bunches
  static constexpr double kMeanGain = 0.1;  // over some ten responses
  static constexpr double kLeastRamp = 2;   // requests: at a limit of one, two at once may be chance
  static constexpr double kRejectedGain = 0.05;  // over some twenty arrivals

  double limit_ = kUnlimited;
  double mean_slack_ = 0;
  double rejected_ = 0;
};

}  // namespace load_balancer::policy
