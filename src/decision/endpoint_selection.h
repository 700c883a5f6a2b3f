// Which endpoint takes a request: the least loaded member of the subset, ties by weighted turns.
#pragma once

#include "send_guard.h"

namespace load_balancer::policy {

class EndpointSelector {
 public:
  EndpointSelector(const PolicyContext& context, Subset& subset, SendGuard& guard, const RetryPolicy& retries)
      : context_(context), subset_(subset), guard_(guard), retries_(retries) {}

  // Null: none can take it.
  Endpoint* select(const PendingRequest& request) {
    const std::size_t order = subset_.order().size();
    const std::size_t end = retries_.boundToScope(request) ? order : subset_.end();
    if (Endpoint* const endpoint = leastLoaded(request, 0, end)) return endpoint;
    // The next in order take the place of the subset, one subset's length at a time.
    const std::size_t last = std::min(order, end + kMostSubstitutes);
    for (std::size_t from = end; from < last; from += Subset::kSize) {
      const std::size_t to = std::min(last, from + Subset::kSize);
      if (Endpoint* const endpoint = leastLoaded(request, from, to)) return endpoint;
    }
    return leastLoaded(request, 0, end, true);
  }
  Endpoint* leastLoadedMember(const PendingRequest& request) {
    return leastLoaded(request, 0, subset_.end());
  }

  // `last_resort`: no other is left.
  bool eligible(const PendingRequest& request, Endpoint& endpoint, bool last_resort = false) const {
    if (!last_resort && request.tried(endpoint)) return false;
    if (!last_resort && endpoint.ejected && !mayTry(request, endpoint)) return false;
    const SendVerdict verdict = guard_.check(request, endpoint);
    if (verdict == SendVerdict::NoShare) subset_.dropMissedTurns(endpoint);
    return verdict == SendVerdict::Allowed;
  }

  // The turn of an endpoint is over. How often it has one follows from its listed size and measured latency.
  void takeTurn(Endpoint& endpoint) const {
    const double size = context_.settings.weighted && endpoint.host.capacity > 0 ? endpoint.host.capacity : 1;
    const double ratio = std::clamp(endpoint.latency_ratio, 0.5, Endpoint::kLongestLatencyRatio);
    const double weight = size / (ratio * ratio * ratio);  // cubed: at half the pace a queue is far longer
    endpoint.virtual_time += 1 / weight;
  }

  std::uint64_t examined() const { return examined_; }

 private:
  static constexpr std::size_t kMostSubstitutes = 48;  // beyond the subset: bounds the cost of a choice
  static constexpr double kSlow = 2;  // times the others' latency: more than chance makes of equal endpoints

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

  // An ejected endpoint whose time is over may prove itself with one request, where it can't be checked.
  bool mayTry(const PendingRequest& request, const Endpoint& endpoint) const {
    return context_.now >= endpoint.ejected_until && endpoint.in_flight == 0 &&
           !context_.settings.may_health_check && retries_.fitForTrial(request);
  }
  // Requests in flight; each counts for more at an endpoint that has been slow for long.
  static double load(const Endpoint& endpoint) {
    return endpoint.latency_ratio < kSlow ? endpoint.in_flight
                                          : endpoint.in_flight * endpoint.latency_ratio / kSlow;
  }

  const PolicyContext& context_;
  Subset& subset_;
  SendGuard& guard_;
  const RetryPolicy& retries_;
  std::uint64_t examined_ = 0;  // endpoints, in all choices
};

}  // namespace load_balancer::policy
