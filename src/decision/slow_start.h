// Slow start: how much an endpoint may get whose process started lately.
#pragma once

#include "statistics/rate_estimator.h"
#include "warm_throughput.h"

namespace load_balancer::policy {

// Each client holds itself to its part of an endpoint's present capacity, by a token bucket for one request:
// it has a part of its members alone, that of its arrivals, and where the start was told no more than follows
// from what warm members serve of it. Those serve no more than they can, so the sum over all clients is
// bounded too.
class SlowStart {
 public:
  SlowStart(PolicyContext& context, const Subset& subset)
      : context_(context), subset_(subset), warm_(context, subset) {}

  void start(Time now) {
    arrivals_.begin(now);
    warm_.start(now);
  }
  void onArrival() {
    arrivals_.note(context_.now);
    warm_.update();
  }
  void onServed(const Endpoint& endpoint) { warm_.onServed(endpoint); }
  // It rejects what it can't take.
  static void onRejected(Endpoint& endpoint) { endpoint.slow_start_tokens = 0; }

  void begin(Endpoint& endpoint, Time since, StartEvidence evidence) const {
    endpoint.slow_start_since = since;
    endpoint.start_evidence = evidence;
    endpoint.slow_start_refilled = context_.now;
    // Clients that learn of it together do not come together, and a restarted client gains nothing on
    // average but its part of what any endpoint bears.
    endpoint.slow_start_tokens = std::min(1.0, context_.random.unit() + kAlwaysBorne / holders());
  }

  bool allows(Endpoint& endpoint) {
    if (!endpoint.inSlowStart(context_.now, context_.settings.slow_start_duration)) {
      endpoint.slow_start_since = 0;
      return true;
    }
    if (!endpoint.in_subset) return false;  // this client has no share of it
    const bool any_warm = warm_.update() > 0;
    const double by_arrivals = shareOfArrivals() * gain(endpoint, any_warm);
    if (endpoint.start_evidence == StartEvidence::Suspected) {
      refill(endpoint, by_arrivals);
    } else if (any_warm || warm_.known()) {
      refill(endpoint, std::min(by_arrivals, warm_.perSecond() * mostGain(endpoint)));
    } else {
      refill(endpoint, kUnmeasuredGain * by_arrivals);
      // What no measure bounds, the responses do: the next request waits for that of the last.
      if (context_.attempts_in_flight > 0) return false;
    }
    return endpoint.slow_start_tokens >= 1;
  }
  void spend(Endpoint& endpoint) {
    if (endpoint.slow_start_since == 0) return;
    ++sent_;
    endpoint.slow_start_tokens = std::max(0.0, endpoint.slow_start_tokens - 1);
  }
  std::uint64_t sent() const { return sent_; }

 private:
  static constexpr double kAlwaysBorne = 2;  // requests, of all clients: those that the rule leaves to chance
  static constexpr double kRateMemory = 4e6;   // microseconds that arrivals are averaged over; exceeds bursts
  static constexpr double kFastLatency = 0.7;  // of the others' latency: such an endpoint has spare capacity
  static constexpr double kSpareGain = 1.5;    // of the headroom
  static constexpr double kUnmeasuredGain = 0.5;  // a burst of several times the ordinary fits

  // How far above its ordinary share a client may go: half of what an endpoint bears, the rest is for chance.
  double headroom() const { return std::max(1.0, context_.settings.slow_start_overload_factor / 2); }

  // The least part of its capacity that it has by now.
  double capacity(const Endpoint& endpoint) const {
    const auto age = static_cast<double>(context_.now - endpoint.slow_start_since);
    const double initial = context_.settings.slow_start_initial_capacity;
    return initial +
           (1 - initial) * std::max(0.0, age) / static_cast<double>(context_.settings.slow_start_duration);
  }
  // Clients that have an endpoint in their subset, on average; this one has.
  double holders() const {
    const double clients = std::max(context_.settings.clients, context_.settings.client + 1);
    const double listed = std::max<double>(Subset::kSize, static_cast<double>(subset_.order().size()));
    return std::max(1.0, clients * Subset::kSize / listed);
  }
  double shareOfArrivals() const {
    return arrivals_.perSecond(context_.now) / std::max(1U, subset_.usable());
  }
  // How much of its share of arrivals a client sends there. The headroom is for endpoints that respond fast,
  // and for requests that have nowhere else to go.
  double gain(const Endpoint& endpoint, bool any_warm) const {
    return any_warm && !hasSpareCapacity(endpoint) ? 1 : mostGain(endpoint);
  }
  // The same of what a warm endpoint serves, at the most.
  double mostGain(const Endpoint& endpoint) const {
    return headroom() * (hasSpareCapacity(endpoint) ? kSpareGain : 1);
  }
  // `share`: requests a second that this client would send to a warm endpoint of mean size.
  void refill(Endpoint& endpoint, double share) const {
    const double rate = share * relativeSize(endpoint) * capacity(endpoint);
    const double elapsed = static_cast<double>(context_.now - endpoint.slow_start_refilled) / kSecond;
    endpoint.slow_start_tokens = std::min(1.0, endpoint.slow_start_tokens + rate * elapsed);
    endpoint.slow_start_refilled = context_.now;
  }

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
  WarmThroughput warm_;
  client_proxy::statistics::RateEstimator arrivals_{kRateMemory};
  std::uint64_t sent_ = 0;  // to endpoints in slow start
};

}  // namespace load_balancer::policy
