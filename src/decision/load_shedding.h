// Load shedding: how much of what arrives is rejected at once in overload, and of whom.
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
  static constexpr double kRejectedLateness = 0.35;  // of a rejection: overload where over half reject

  LoadShedder(PolicyContext& context, RateLimitedLog& log) : context_(context), log_(log) {}

  // After any change of the settings.
  void onSettings() {
    usual_latency_.resize(context_.settings.classes.size());
    tenant_arrivals_.resize(context_.settings.tenants.size());
    level_arrivals_.resize(2 * context_.settings.classes.size());
  }
  // What was learnt of a class says nothing of another in its place.
  void forgetClass(std::size_t i) {
    usual_latency_.forget(i);
    level_arrivals_.forget(2 * i);
    level_arrivals_.forget(2 * i + 1);
  }
  std::size_t classes() const { return usual_latency_.kinds(); }

  // Learns what requests of a class take, and how much longer they do at this endpoint.
  void recordLatency(Endpoint& endpoint, std::int32_t request_class, const Outcome& outcome) {
    const auto latency = static_cast<double>(std::max<Time>(outcome.latency, 1));
    const double ratio = usual_latency_.record(static_cast<std::size_t>(request_class), latency);
    endpoint.latency_ratio += 0.1 * (ratio - endpoint.latency_ratio);
  }

  // From 0, prompt, to 1 at the latency objective.
  static double lateness(const RequestClass& c, const Outcome& outcome) {
    const double part = static_cast<double>(outcome.latency) / static_cast<double>(c.latency_objective);
    return std::clamp((part - kLateFrom) / (1 - kLateFrom), 0.0, 1.0);
  }
  // What the lateness of one attempt says of the load of all endpoints.
  void adapt(double late, const Endpoint& endpoint, Actions& out) {
    late /= std::max(1.0, endpoint.latency_ratio);  // a slow endpoint's lateness is its own
    limit_.adapt((kTargetLateness - late) / kTargetLateness, context_.mean_in_flight);
    const bool shedding = limit_.rejected() > (shedding_ ? kLoggedFrom / 2 : kLoggedFrom);
    if (shedding == std::exchange(shedding_, shedding)) return;
    log_.write(RateLimitedLog::Kind::Shedding, shedding ? "shedding begun" : "shedding ended", out);
  }

  // Whether to reject an arrival before it costs anything. What is beyond a tenant's quota goes first; of the
  // rest half by priority weight for the time it takes, half from all alike, so that no class starves.
  bool shouldReject(const Request& request) {
    const bool over_quota = overQuota(request.tenant);
    const auto level = 2 * static_cast<std::size_t>(request.request_class) + (over_quota ? 1U : 0U);
    level_arrivals_.record(level);
    const double part = limit_.onArrival(context_.attempts_in_flight);
    if (part <= 0) return false;
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
    return lower + context_.random.unit() * same < part * all;
  }

 private:
  static constexpr double kLateFrom = 0.4;        // of the latency objective
  static constexpr double kTargetLateness = 0.2;  // a full fleet; more is a queue
  static constexpr double kLoggedFrom = 0.1;      // of arrivals rejected; less is noise of a busy hour

  // By chance, so often as the tenant's arrivals here are beyond its quota.
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
    const double usual = usual_latency_.mean(level / 2);
    return quota_weight * c.priority_weight /
           (usual > 0 ? usual : static_cast<double>(c.latency_objective) / 2);
  }

  PolicyContext& context_;
  RateLimitedLog& log_;
  client_proxy::statistics::LatencyBaseline usual_latency_;  // by class, in microseconds
  client_proxy::statistics::FadingCounters tenant_arrivals_;
  client_proxy::statistics::FadingCounters level_arrivals_;  // two a class: within and beyond the quota
  ConcurrencyLimit limit_;                                   // on own requests in flight
  bool shedding_ = false;                                    // as logged
};

}  // namespace load_balancer::policy
