// Measures how many of this client's requests one warm endpoint serves: an estimate of an endpoint's capacity
// that needs no information from other clients.
#pragma once

#include "statistics/rate_estimator.h"
#include "subset.h"

namespace load_balancer::policy {

// Counts served requests, not arrivals: a warm endpoint serves no more than its capacity, so the sum over all
// clients stays within that capacity whatever the demand. Not updated while no member is warm.
class WarmThroughput {
 public:
  WarmThroughput(const PolicyContext& context, const Subset& subset) : context_(context), subset_(subset) {}

  void start(Time now) {
    served_.start(now);
    updated_ = now;
  }
  // To be called at each event that reads or changes the estimate, before the subset changes. Returns the
  // number of warm members.
  std::uint32_t update() {
    const std::uint32_t warm = warmMembers();
    if (warm > 0) {
      observed_members_ = subset_.usable();
    } else {
      served_.skip(context_.now - updated_);
    }
    updated_ = context_.now;
    return warm;
  }
  void onServed(const Endpoint& endpoint) {
    const std::uint32_t warm = update();
    if (warm > 0 && isWarm(endpoint)) served_.record(context_.now, 1.0 / warm);
  }

  // Whether enough requests were served recently for an estimate.
  bool measured() const {
    return served_.perSecond(context_.now) * observed_members_ * kTimeConstant / kSecond >= kMinResponses;
  }
  // Requests of this client per second that one warm endpoint serves. If the subset has grown since a member
  // was last warm, the same throughput is divided among more members.
  double perSecond() const {
    const double members = std::max(1U, subset_.usable());
    return served_.perSecond(context_.now) * std::min(1.0, observed_members_ / members);
  }

 private:
  static constexpr double kTimeConstant =
      15e6;  // microseconds; overloads in which little is served are shorter
  static constexpr double kMinResponses = 4;

  std::uint32_t warmMembers() const {
    const std::span<Endpoint* const> members = subset_.span();
    return static_cast<std::uint32_t>(std::count_if(
        members.begin(), members.end(), [this](const Endpoint* e) { return e->usable() && isWarm(*e); }));
  }
  bool isWarm(const Endpoint& endpoint) const {
    return !endpoint.inSlowStart(context_.now, context_.settings.slow_start_duration);
  }

  const PolicyContext& context_;
  const Subset& subset_;
  client_proxy::statistics::RateEstimator served_{kTimeConstant};
  Time updated_ = 0;
  std::uint32_t observed_members_ = 0;  // usable members when one of them was last warm
};

}  // namespace load_balancer::policy
