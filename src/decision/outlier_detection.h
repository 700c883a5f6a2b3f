// Outlier detection: ejects endpoints that fail, and readmits them when they respond again.
#pragma once

#include "slow_start.h"

namespace load_balancer::policy {

class OutlierDetector {
 public:
  static constexpr Time kMaxEjection = 8 * kSecond;  // so that a recovered endpoint is found within seconds
  // Evidence of one failure, added to the failure score; a score of kEjectAt ejects.
  static constexpr double kClearFailure = 1;
  // Long requests also time out at healthy endpoints: it takes two in a row.
  static constexpr double kTimeoutFailure = 0.5;
  // Healthy endpoints cause some too: it takes a series.
  static constexpr double kBrokenResponse = 0.3;
  // The maximum ejected fraction of the subset: where more fail, the cause lies elsewhere.
  static constexpr double kMaxEjectedFraction = 0.4;
  // Likewise for endpoints that accept no connections, which are useless in any case.
  static constexpr double kMaxUnreachableFraction = 0.75;

  OutlierDetector(PolicyContext& context, RateLimitedLog& log, Subset& subset, SlowStart& slow_start)
      : context_(context), log_(log), subset_(subset), slow_start_(slow_start) {}

  // Returns whether the endpoint is ejected now.
  bool recordFailure(Endpoint& endpoint, double evidence, bool unresponsive, Actions& out,
                     double max_ejected_fraction = kMaxEjectedFraction) {
    const auto age = static_cast<double>(context_.now - endpoint.failure_score_at);
    endpoint.failure_score = endpoint.failure_score * std::exp2(-age / kHalfLife) + evidence;
    endpoint.failure_score_at = context_.now;
    if (endpoint.failure_score < kEjectAt) return false;
    if (!endpoint.ejected && !mayEjectOneMore(max_ejected_fraction)) return false;
    if (!std::exchange(endpoint.ejected, true)) endpoint.ejected_since = context_.now;
    endpoint.unresponsive = unresponsive;
    const double backoff = std::exp2(std::max(0.0, endpoint.failure_score - 1));
    const double duration = std::min<double>(kMaxEjection, kFirstEjection * backoff);
    endpoint.ejected_until = context_.now + static_cast<Time>(context_.jittered(duration));
    scheduleCheck(endpoint.ejected_until);
    subset_.recompute();
    log_.write(RateLimitedLog::Kind::Ejected, "ejected " + endpoint.host.id, out);
    return true;
  }
  // A success reduces the score by less than a failure adds, so that partial failures are detected.
  static void recordSuccess(Endpoint& endpoint) { endpoint.failure_score *= kSuccessFactor; }

  // The endpoint has responded to a request or health check that was sent at `sent`. If it was unresponsive
  // it may have restarted, so it returns in slow start.
  void readmit(Endpoint& endpoint, Time sent, Actions& out) {
    if (!endpoint.ejected) return;
    endpoint.ejected = endpoint.ejected_with_zone = false;
    const bool may_have_restarted =
        endpoint.unresponsive && context_.settings.slow_start_duration > 0 && sent > endpoint.ejected_since;
    if (may_have_restarted) slow_start_.begin(endpoint, context_.now, StartEvidence::Suspected);
    subset_.recompute();
    log_.write(RateLimitedLog::Kind::Readmitted,
               "readmitted " + endpoint.host.id + (may_have_restarted ? " into slow start" : ""), out);
  }

  // Starts health checks, where permitted, of endpoints whose ejection has expired; of those ejected with
  // their zone, one per zone.
  void checkDue(Actions& out) {
    if (next_check_ == 0 || context_.now < next_check_) return;
    next_check_ = 0;
    std::vector<std::int32_t> checked_zones;
    for (Endpoint* endpoint : subset_.order()) {
      if (!endpoint->ejected) continue;
      if (context_.now < endpoint->ejected_until) {
        scheduleCheck(endpoint->ejected_until);
        continue;
      }
      if (endpoint->ejected_with_zone) {
        const std::int32_t zone = endpoint->host.zone;
        if (std::find(checked_zones.begin(), checked_zones.end(), zone) != checked_zones.end()) continue;
        checked_zones.push_back(zone);
      }
      if (context_.settings.may_health_check && endpoint->inService()) checkHealth(*endpoint, out);
    }
  }
  static void checkHealth(Endpoint& endpoint, Actions& out) {
    if (!std::exchange(endpoint.health_check_pending, true))
      out.push_back({.kind = ActionKind::HealthCheck, .server = endpoint.host.id});
  }
  void scheduleCheck(Time time) { next_check_ = next_check_ == 0 ? time : std::min(next_check_, time); }
  void checkAtNextEvent() { next_check_ = context_.now; }
  // The end of the first ejection of an endpoint that is ejected now.
  Time firstEjectionEnd() { return context_.now + static_cast<Time>(context_.jittered(kFirstEjection)); }

 private:
  static constexpr Time kFirstEjection =
      kSecond;                               // one trial per second is the acceptable cost of an outlier
  static constexpr double kHalfLife = 10e6;  // microseconds, of the failure score
  static constexpr double kEjectAt = 0.9;    // one clear failure, slightly decayed
  static constexpr double kSuccessFactor = 0.8;

  // Keeps the ejected fraction within its maximum, and never ejects the last usable member.
  bool mayEjectOneMore(double max_ejected_fraction) const {
    const std::span<Endpoint* const> subset = subset_.span();
    const auto ejected = std::count_if(subset.begin(), subset.end(), [](auto* e) { return e->ejected; });
    const std::uint32_t usable = subset_.usable();
    return usable > 1 && static_cast<double>(ejected + 1) <= std::max(1.0, max_ejected_fraction * usable);
  }

  PolicyContext& context_;
  RateLimitedLog& log_;
  Subset& subset_;
  SlowStart& slow_start_;
  Time next_check_ = 0;  // the earliest end of an ejection; 0: none is ejected
};

}  // namespace load_balancer::policy
