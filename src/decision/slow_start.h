// Slow start: limits the requests sent to endpoints whose process started recently.
#pragma once

#include "statistics/rate_estimator.h"
#include "warm_throughput.h"

namespace load_balancer::policy {

// Each client limits itself to its share of an endpoint's current capacity, by a token bucket that holds one
// request. Only members of its subset have a share. The refill rate follows the client's rate of arrivals;
// where discovery reported the start, it is also limited by the throughput of warm members. Since warm
// members serve no more than their capacity, the sum over all clients is bounded as well.
class SlowStart {
 public:
  SlowStart(PolicyContext& context, const Subset& subset)
      : context_(context), subset_(subset), warm_(context, subset) {}

  void start(Time now) {
    arrivals_.start(now);
    warm_.start(now);
  }
  void onArrival() {
    arrivals_.record(context_.now);
    warm_.update();
  }
  void onServed(const Endpoint& endpoint) { warm_.onServed(endpoint); }
  // The endpoint is at its limit, so its tokens are void.
  static void onRejected(Endpoint& endpoint) { endpoint.slow_start_tokens = 0; }

  // The endpoint has started at clock time `since`.
  void begin(Endpoint& endpoint, Time since, StartEvidence evidence) const {
    endpoint.slow_start_since = since;
    endpoint.start_evidence = evidence;
    endpoint.slow_start_refilled_at = context_.now;
    // A random fill level spreads the first requests of clients that learn of the start at the same time. On
    // average, a client that restarts gains no more by it than its share of the tolerated excess.
    endpoint.slow_start_tokens =
        std::min(1.0, context_.random.unit() + kToleratedExcess / clientsPerEndpoint());
  }

  // Whether slow start permits a request to the endpoint now. Refills its tokens, and ends its slow start
  // when the duration is over.
  bool allows(Endpoint& endpoint) {
    if (!endpoint.inSlowStart(context_.now, context_.settings.slow_start_duration)) {
      endpoint.slow_start_since = 0;
      return true;
    }
    if (!endpoint.in_subset) return false;  // only subset members have a share
    const bool any_warm = warm_.update() > 0;
    const double by_arrivals = arrivalsPerEndpoint() * refillFactor(endpoint, any_warm);
    if (endpoint.start_evidence == StartEvidence::Suspected) {
      refill(endpoint, by_arrivals);
    } else if (any_warm || warm_.measured()) {
      refill(endpoint, std::min(by_arrivals, warm_.perSecond() * maxRefillFactor(endpoint)));
    } else {
      refill(endpoint, kUnmeasuredFactor * by_arrivals);
      // Without a measured throughput, requests are sent one at a time: each waits for the last response.
      if (context_.attempts_in_flight > 0) return false;
    }
    return endpoint.slow_start_tokens >= 1;
  }
  // Takes the token of one request, if the endpoint is in slow start.
  void spend(Endpoint& endpoint) {
    if (endpoint.slow_start_since == 0) return;
    ++sent_;
    endpoint.slow_start_tokens = std::max(0.0, endpoint.slow_start_tokens - 1);
  }
  // Requests sent to endpoints in slow start so far.
  std::uint64_t sent() const { return sent_; }

 private:
  // Requests of all clients together beyond an endpoint's budget that the overload rule tolerates as random
  // variation.
  static constexpr double kToleratedExcess = 2;
  static constexpr double kArrivalTimeConstant = 4e6;  // microseconds; longer than bursts
  // Latency relative to the other endpoints below which an endpoint has spare capacity.
  static constexpr double kFastLatencyRatio = 0.7;
  static constexpr double kSpareCapacityFactor = 1.5;  // on the overload allowance
  static constexpr double kUnmeasuredFactor = 0.5;  // leaves room for a burst of several times the usual rate

  // How far a client may exceed its ordinary share: half of the overload factor; the other half is reserved
  // for random variation.
  double overloadAllowance() const { return std::max(1.0, context_.settings.slow_start_overload_factor / 2); }

  // The fraction of its capacity that an endpoint has at least by now.
  double capacityFraction(const Endpoint& endpoint) const {
    const auto age = static_cast<double>(context_.now - endpoint.slow_start_since);
    const double initial = context_.settings.slow_start_initial_capacity;
    return initial +
           (1 - initial) * std::max(0.0, age) / static_cast<double>(context_.settings.slow_start_duration);
  }
  // How many clients have an endpoint in their subset, on average; at least this one.
  double clientsPerEndpoint() const {
    const double clients = std::max(context_.settings.clients, context_.settings.client + 1);
    const double listed = std::max<double>(Subset::kSize, static_cast<double>(subset_.order().size()));
    return std::max(1.0, clients * Subset::kSize / listed);
  }
  // Requests per second that arrive for each usable member.
  double arrivalsPerEndpoint() const {
    return arrivals_.perSecond(context_.now) / std::max(1U, subset_.usable());
  }
  // The refill rate as a multiple of the share of arrivals. Above 1 only for endpoints that respond fast, or
  // if there is no warm member for the requests.
  double refillFactor(const Endpoint& endpoint, bool any_warm) const {
    return any_warm && !hasSpareCapacity(endpoint) ? 1 : maxRefillFactor(endpoint);
  }
  // The maximum refill rate as a multiple of the throughput of a warm endpoint.
  double maxRefillFactor(const Endpoint& endpoint) const {
    return overloadAllowance() * (hasSpareCapacity(endpoint) ? kSpareCapacityFactor : 1);
  }
  // `share`: requests per second that this client would send to a warm endpoint of average size.
  void refill(Endpoint& endpoint, double share) const {
    const double rate = share * relativeSize(endpoint) * capacityFraction(endpoint);
    const double elapsed = static_cast<double>(context_.now - endpoint.slow_start_refilled_at) / kSecond;
    endpoint.slow_start_tokens = std::min(1.0, endpoint.slow_start_tokens + rate * elapsed);
    endpoint.slow_start_refilled_at = context_.now;
  }

  // The endpoint's listed capacity relative to the subset's mean; 1 if sizes are unknown.
  double relativeSize(const Endpoint& endpoint) const {
    if (!context_.settings.weighted || endpoint.host.capacity <= 0) return 1;
    double sum = 0, count = 0;
    for (const Endpoint* other : subset_.span()) {
      if (other->usable() && other->host.capacity > 0) sum += other->host.capacity, ++count;
    }
    return count == 0 ? 1 : std::clamp(endpoint.host.capacity * count / sum, 0.5, 2.0);
  }

  static bool hasSpareCapacity(const Endpoint& endpoint) {
    return endpoint.in_flight <= 1 && endpoint.latency_ratio < kFastLatencyRatio;
  }

  PolicyContext& context_;
  const Subset& subset_;
  WarmThroughput warm_;
  client_proxy::statistics::RateEstimator arrivals_{kArrivalTimeConstant};
  std::uint64_t sent_ = 0;  // to endpoints in slow start
};

}  // namespace load_balancer::policy
