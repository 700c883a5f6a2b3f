// Slow start: how much an endpoint may get whose process started lately.
#pragma once

#include "statistics/rate_estimator.h"
#include "subset.h"

namespace load_balancer::policy {

// Each client holds itself to its ordinary share of a cold endpoint times the least capacity that this has by
// now, by a token bucket for one request: so the sum over all clients stays within it without coordination.
class SlowStart {
 public:
  SlowStart(PolicyContext& context, const Subset& subset) : context_(context), subset_(subset) {}

  void start(Time now) { arrivals_.begin(now); }
  void onArrival() { arrivals_.note(context_.now); }

  void begin(Endpoint& endpoint, Time since) const {
    endpoint.slow_start_since = since;
    endpoint.slow_start_refilled = context_.now;
    // Clients that learn of it together do not come together.
    endpoint.slow_start_tokens = context_.random.unit() * headroom();
  }

  // `last_resort`: nothing but cold endpoints is left.
  bool allows(Endpoint& endpoint, bool last_resort) const {
    if (endpoint.slow_start_since == 0) return true;
    const auto age = static_cast<double>(context_.now - endpoint.slow_start_since);
    const auto duration = static_cast<double>(context_.settings.slow_start_duration);
    if (age >= duration) {
      endpoint.slow_start_since = 0;
      return true;
    }
    const double initial = context_.settings.slow_start_initial_capacity;
    const double capacity = initial + (1 - initial) * std::max(0.0, age) / duration;
    const bool spare = hasSpareCapacity(endpoint);
    const double rate = arrivals_.perSecond(context_.now) / std::max(1U, subset_.usable()) *
                        relativeSize(endpoint) * capacity * headroom() * (spare ? kSpareGain : 1);
    endpoint.slow_start_tokens +=
        rate * static_cast<double>(context_.now - endpoint.slow_start_refilled) / 1e6;
    endpoint.slow_start_tokens = std::min(endpoint.slow_start_tokens, headroom());
    endpoint.slow_start_refilled = context_.now;
    return endpoint.slow_start_tokens >= (last_resort || spare ? 1 : headroom());
  }
  void spend(Endpoint& endpoint) const {
    if (endpoint.slow_start_since != 0)
      endpoint.slow_start_tokens = std::max(0.0, endpoint.slow_start_tokens - headroom());
  }

 private:
  static constexpr double kRateMemory = 4e6;   // microseconds that arrivals are averaged over; exceeds bursts
  static constexpr double kFastLatency = 0.7;  // of the others' latency: such an endpoint has spare capacity
  static constexpr double kSpareGain = 1.5;    // of its share

  // How far above its ordinary share a client may go.
  double headroom() const { return std::max(1.0, context_.settings.slow_start_overload_factor / 2); }

  // To the mean of the subset, where sizes are known.
  double relativeSize(const Endpoint& endpoint) const {
    if (!context_.settings.weighted || endpoint.host.capacity <= 0) return 1;
    double sum = 0, count = 0;
    for (const Endpoint* other : subset_.span()) {
      if (other->usable() && other->host.capacity > 0) sum += other->host.capacity, ++count;
    }
    return count == 0 ? 1 : std::clamp(endpoint.host.capacity * count / sum, 0.5, 2.0);
  }

  static bool hasSpareCapacity(const Endpoint& endpoint) {
    return endpoint.in_flight <= 1 && endpoint.latency_ratio < kFastLatency;
  }

  PolicyContext& context_;
  const Subset& subset_;
  client_proxy::statistics::RateEstimator arrivals_{kRateMemory};
};

}  // namespace load_balancer::policy
