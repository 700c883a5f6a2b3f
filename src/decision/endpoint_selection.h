// Selects the endpoint for a request: the least loaded member of the subset, ties by weighted fair queueing.
#pragma once

#include "send_guard.h"

namespace load_balancer::policy {

class EndpointSelector {
 public:
  EndpointSelector(const PolicyContext& context, Subset& subset, SendGuard& guard, const RetryPolicy& retries)
      : context_(context), subset_(subset), guard_(guard), retries_(retries) {}

  // Null if no endpoint can receive the request.
  Endpoint* select(const PendingRequest& request) {
    const std::size_t order = subset_.order().size();
    const std::size_t end = retries_.restrictedToScope(request) ? order : subset_.end();
    if (Endpoint* const endpoint = leastLoaded(request, 0, end)) return endpoint;
    // Substitutes: the endpoints after the subset, in groups of the subset's default size.
    const std::size_t last = std::min(order, end + kMaxSubstitutes);
    for (std::size_t from = end; from < last; from += Subset::kSize) {
      const std::size_t to = std::min(last, from + Subset::kSize);
      if (Endpoint* const endpoint = leastLoaded(request, from, to)) return endpoint;
    }
    return leastLoaded(request, 0, end, true);
  }
  // Null if no member can receive the request.
  Endpoint* leastLoadedMember(const PendingRequest& request) {
    return leastLoaded(request, 0, subset_.end());
  }

  // Whether the endpoint can receive the request. `last_resort`: also if it is ejected or was tried before.
  bool eligible(const PendingRequest& request, Endpoint& endpoint, bool last_resort = false) const {
    if (!last_resort && request.tried(endpoint)) return false;
    if (!last_resort && endpoint.ejected && !mayTrial(request, endpoint)) return false;
    const SendVerdict verdict = guard_.check(request, endpoint);
    if (verdict == SendVerdict::SlowStartLimit) subset_.dropMissedTurns(endpoint);
    return verdict == SendVerdict::Allowed;
  }

  // Ends an endpoint's turn among tied members. Its listed capacity and measured latency determine how often
  // it has one.
  void advanceVirtualTime(Endpoint& endpoint) const {
    const double size = context_.settings.weighted && endpoint.host.capacity > 0 ? endpoint.host.capacity : 1;
    const double ratio = std::clamp(endpoint.latency_ratio, 0.5, Endpoint::kMaxLatencyRatio);
    const double weight = size / (ratio * ratio * ratio);  // cubed: at half the speed queues grow far longer
    endpoint.virtual_time += 1 / weight;
  }

  std::uint64_t examined() const { return examined_; }

 private:
  static constexpr std::size_t kMaxSubstitutes = 48;  // beyond the subset: bounds the cost of a selection
  // Latency relative to the other endpoints from which an endpoint is slow: more than random variation
  // between equal endpoints.
  static constexpr double kSlowRatio = 2;

  Endpoint* leastLoaded(const PendingRequest& request, std::size_t from, std::size_t to,
                        bool last_resort = false) {
    Endpoint* best = nullptr;
    for (std::size_t i = from; i < to; ++i) {
      Endpoint* const endpoint = subset_.order()[i];
      ++examined_;
      const bool better = best == nullptr || std::pair(load(*endpoint), endpoint->virtual_time) <
                                                 std::pair(load(*best), best->virtual_time);
      if (better && eligible(request, *endpoint, last_resort)) best = endpoint;
    }
    return best;
  }

  // Where health checks are not permitted, an endpoint whose ejection has expired gets one trial request.
  bool mayTrial(const PendingRequest& request, const Endpoint& endpoint) const {
    return context_.now >= endpoint.ejected_until && endpoint.in_flight == 0 &&
           !context_.settings.may_health_check && retries_.suitableForTrial(request);
  }
  // Requests in flight, weighted more at an endpoint that has been slow for some time.
  static double load(const Endpoint& endpoint) {
    return endpoint.latency_ratio < kSlowRatio ? endpoint.in_flight
                                               : endpoint.in_flight * endpoint.latency_ratio / kSlowRatio;
  }

  const PolicyContext& context_;
  Subset& subset_;
  SendGuard& guard_;
  const RetryPolicy& retries_;
  std::uint64_t examined_ = 0;  // endpoints examined in all selections
};

}  // namespace load_balancer::policy
