// Load shedding: which fraction of arrivals is rejected immediately in overload, and which requests.
#pragma once

#include <cmath>

#include "concurrency_limit.h"
#include "endpoint.h"
#include "policy_context.h"
#include "statistics/fading_counters.h"
#include "statistics/latency_baseline.h"

namespace load_balancer::policy {

class LoadShedder {
 public:
  // Lateness that a rejection by an endpoint counts as: overload if more than half of them reject.
  static constexpr double kRejectedLateness = 0.35;

  LoadShedder(PolicyContext& context, RateLimitedLog& log) : context_(context), log_(log) {}

  // To be called after any change of the settings.
  void onSettings() {
    mean_latency_.resize(context_.settings.classes.size());
    tenant_arrivals_.resize(context_.settings.tenants.size());
    level_arrivals_.resize(2 * context_.settings.classes.size());
  }
  // The definition of class `i` has changed, so its measurements are void.
  void resetClass(std::size_t i) {
    mean_latency_.reset(i);
    level_arrivals_.reset(2 * i);
    level_arrivals_.reset(2 * i + 1);
  }
  std::size_t classes() const { return mean_latency_.kinds(); }

  // Updates the mean latency of the request class, and the endpoint's latency relative to it.
  void recordLatency(Endpoint& endpoint, std::int32_t request_class, const Outcome& outcome) {
    const auto latency = static_cast<double>(std::max<Time>(outcome.latency, 1));
    const double ratio = mean_latency_.record(static_cast<std::size_t>(request_class), latency);
    endpoint.latency_ratio += 0.1 * (ratio - endpoint.latency_ratio);
  }

  // Lateness of a response: 0 up to kLateFrom of the latency objective, rising to 1 at the objective.
  static double lateness(const RequestClass& c, const Outcome& outcome) {
    const double part = static_cast<double>(outcome.latency) / static_cast<double>(c.latency_objective);
    return std::clamp((part - kLateFrom) / (1 - kLateFrom), 0.0, 1.0);
  }
  // Adapts the limit to the lateness of one attempt.
  void adapt(double late, const Endpoint& endpoint, Actions& out) {
    late /= std::max(1.0, endpoint.latency_ratio);  // discounts the lateness of slow endpoints
    limit_.adapt((kTargetLateness - late) / kTargetLateness, context_.mean_in_flight);
    const bool shedding = limit_.rejected() > (shedding_ ? kLogThreshold / 2 : kLogThreshold);
    if (shedding == std::exchange(shedding_, shedding)) return;
    log_.write(RateLimitedLog::Kind::Shedding, shedding ? "shedding begun" : "shedding ended", out);
  }

  // Whether to reject an arrival immediately. Requests beyond their tenant's quota are rejected first; of the
  // others, half are chosen by priority weight per expected time and half equally from all classes, so that
  // no class starves.
  bool shouldReject(const Request& request) {
    const bool over_quota = overQuota(request.tenant);
    const auto level = 2 * static_cast<std::size_t>(request.request_class) + (over_quota ? 1U : 0U);
    level_arrivals_.record(level);
    const double rejected = limit_.onArrival(context_.attempts_in_flight);
    if (rejected <= 0) return false;
    const bool by_weight = context_.random.unit() < 0.5;
    const double weight = weightOf(level, by_weight);
    double lower = 0, same = 0, all = 0;
    for (std::size_t other = 0; other < level_arrivals_.kinds(); ++other) {
      const double other_weight = weightOf(other, by_weight);
      all += level_arrivals_[other];
      if (other_weight < weight) {
        lower += level_arrivals_[other];
      } else if (!(weight < other_weight)) {
        same += level_arrivals_[other];
      }
    }
    return lower + context_.random.unit() * same < rejected * all;
  }

 private:
  static constexpr double kLateFrom = 0.4;        // of the latency objective
  static constexpr double kTargetLateness = 0.2;  // at full utilization; more indicates queueing
  static constexpr double kLogThreshold = 0.1;    // rejected fraction; less is normal in a busy hour

  // Random, with the probability that equals the fraction of the tenant's arrivals beyond its quota.
  bool overQuota(std::int32_t tenant) {
    const auto index = static_cast<std::size_t>(tenant);
    if (tenant < 0 || index >= tenant_arrivals_.kinds()) return false;
    tenant_arrivals_.record(index);
    const double quota = context_.settings.tenants[index].quota;
    return context_.random.unit() < 1 - quota * tenant_arrivals_.total() / tenant_arrivals_[index];
  }

  double weightOf(std::size_t level, bool by_weight) const {
    const double quota_weight = (level & 1U) != 0 ? context_.settings.over_quota_weight : 1;
    if (!by_weight) return quota_weight;
    const RequestClass& c = context_.settings.classes[level / 2];
    const double mean = mean_latency_.mean(level / 2);
    return quota_weight * c.priority_weight /
           (mean > 0 ? mean : static_cast<double>(c.latency_objective) / 2);
  }

  PolicyContext& context_;
  RateLimitedLog& log_;
  client_proxy::statistics::LatencyBaseline mean_latency_;  // by class, in microseconds
  client_proxy::statistics::FadingCounters tenant_arrivals_;
  // Two levels per class: 2 * class within the tenant's quota, 2 * class + 1 beyond it.
  client_proxy::statistics::FadingCounters level_arrivals_;
  ConcurrencyLimit limit_;  // on this client's requests in flight
  bool shedding_ = false;   // as last logged
};

}  // namespace load_balancer::policy
