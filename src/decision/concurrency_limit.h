// An adaptive limit on requests in flight, controlled by the lateness of responses.
#pragma once

#include <algorithm>
#include <cmath>

namespace load_balancer::policy {

// Reacts to slower responses immediately, and retries do not raise the number of admitted requests. A limit
// below one request in flight is applied by random rejection, so that many clients with little traffic reduce
// their load as well.
class ConcurrencyLimit {
 public:
  // Maximum rejected fraction of arrivals: some requests must be sent to detect the end of the overload.
  static constexpr double kMaxRejected = 0.95;

  // A response was received. `slack`: its distance from the target lateness, as a fraction of that: 1 if it
  // was prompt, below 0 if it was later than the target. `mean_in_flight`: requests in flight, averaged over
  // arrivals.
  void adapt(double slack, double mean_in_flight) {
    const double used = std::max(1.0, mean_in_flight);
    mean_slack_ += kSlackSmoothing * (slack - mean_slack_);
    // Responses are late on average, so the current use is too high. A single late response is no overload.
    if (mean_slack_ < 0) limit_ = std::min(limit_, used + kOverloadDeviations * std::sqrt(used));
    // An unused limit is no evidence of capacity: the limit grows only as far as random variation may use it.
    if (slack > 0 && limit_ >= used + kHeadroomDeviations * std::sqrt(used)) return;
    // While many requests are rejected there are few responses, so each counts for rejected ones as well.
    const double step = slack > 0 ? kStep / std::sqrt(1 - rejected_) : kStep;
    limit_ = std::max(limit_ + step * slack * std::max(1.0, limit_), 1 - kMaxRejected * kMinRamp);
  }

  // Returns the probability with which to reject an arrival: it rises from 0 at the limit to kMaxRejected at
  // about one and a half times the limit.
  double onArrival(double in_flight) {
    const double ramp = std::max(kMinRamp, limit_ / 2);
    const double probability = std::clamp((in_flight + 1 - limit_) / ramp, 0.0, kMaxRejected);
    rejected_ += kRejectedSmoothing * (probability - rejected_);
    return probability;
  }
  // The rejection probability averaged over recent arrivals.
  double rejected() const { return rejected_; }

 private:
  static constexpr double kUnlimited = 1e6;  // until responses are late
  // Fraction of the limit by which a prompt response raises it; the latest responses lower it by four times
  // that.
  static constexpr double kStep = 0.02;
  // Standard deviations of a Poisson distributed number: one arrival in forty finds more in flight.
  static constexpr double kHeadroomDeviations = 2;
  // Likewise in overload: the use is an average, and arrivals come in bursts.
  static constexpr double kOverloadDeviations = 0.5;
  static constexpr double kSlackSmoothing = 0.1;      // averages over about ten responses
  static constexpr double kMinRamp = 2;               // requests: at a limit of one, two may be coincidence
  static constexpr double kRejectedSmoothing = 0.05;  // averages over about twenty arrivals

  double limit_ = kUnlimited;
  double mean_slack_ = 0;
  double rejected_ = 0;
};

}  // namespace load_balancer::policy
