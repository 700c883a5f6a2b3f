// What one warm endpoint serves of this client's requests: the measure of an endpoint's capacity that needs
// no word of anybody else.
#pragma once

#include "statistics/rate_estimator.h"
#include "subset.h"

namespace load_balancer::policy {

// Counts what was served, not what arrived: a warm endpoint serves no more than it can, so the sum over all
// clients stays within its capacity however much is asked for. Stands still while no member is warm.
class WarmThroughput {
 public:
  WarmThroughput(const PolicyContext& context, const Subset& subset) : context_(context), subset_(subset) {}

  void start(Time now) {
    served_.begin(now);
    updated_ = now;
  }
  // At each event that reads or changes it, while the subset is as it has been since the last one. Returns
  // how many members are warm.
  std::uint32_t update() {
    const std::uint32_t warm = warmMembers();
    if (warm > 0) {
      observed_members_ = subset_.usable();
    } else {
      served_.pause(context_.now - updated_);
    }
    updated_ = context_.now;
    return warm;
  }
  void onServed(const Endpoint& endpoint) {
    const std::uint32_t warm = update();
    if (warm > 0 && isWarm(endpoint)) served_.note(context_.now, 1.0 / warm);
  }

  // Whether enough was served lately to tell.
  bool known() const {
    return served_.perSecond(context_.now) * observed_members_ * kMemory / kSecond >= kLeastResponses;
  }
  // Requests of this client that one warm endpoint serves. A subset that has grown since a member was warm
  // shares the same among more of them.
  double perSecond() const {
    const double members = std::max(1U, subset_.usable());
    return served_.perSecond(context_.now) * std::min(1.0, observed_members_ / members);
  }

 private:
  static constexpr double kMemory = 15e6;  // microseconds; an overload in which little is served ends sooner
  static constexpr double kLeastResponses = 4;

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
  client_proxy::statistics::RateEstimator served_{kMemory};
  Time updated_ = 0;
  std::uint32_t observed_members_ = 0;  // usable, when one of them was last warm
};

}  // namespace load_balancer::policy
