// Outlier detection: which endpoints are ejected since they failed, and when they may be readmitted.
#pragma once

#include "slow_start.h"

namespace load_balancer::policy {

class OutlierDetector {
 public:
  static constexpr Time kLongestEjection = 8 * kSecond;  // an endpoint that recovers is found within seconds
  // Evidence of one failure; kEjectAt of it ejects.
  static constexpr double kClearFailure = 1;
  static constexpr double kTimeout =
      0.5;  // long requests time out at healthy endpoints: two in a row tell more
  static constexpr double kBrokenResponse = 0.3;  // healthy ones do it too: only a run of them tells
  // At most so much of the subset is ejected: where more fail the fault is elsewhere.
  static constexpr double kMaxEjected = 0.4;
  static constexpr double kMaxUnreachable =
      0.75;  // of those that accept no connection, and are of no use at all

  OutlierDetector(PolicyContext& context, RateLimitedLog& log, Subset& subset, SlowStart& slow_start)
      : context_(context), log_(log), subset_(subset), slow_start_(slow_start) {}

  // Returns whether the endpoint is ejected now.
  bool recordFailure(Endpoint& endpoint, double evidence, bool unresponsive, Actions& out,
                     double max_ejected = kMaxEjected) {
    const auto age = static_cast<double>(context_.now - endpoint.failure_score_at);
    endpoint.failure_score = endpoint.failure_score * std::exp2(-age / kHalfLife) + evidence;
    endpoint.failure_score_at = context_.now;
    if (endpoint.failure_score < kEjectAt) return false;
    if (!endpoint.ejected && !mayEjectOneMore(max_ejected)) return false;
    if (!std::exchange(endpoint.ejected, true)) endpoint.ejected_since = context_.now;
    endpoint.unresponsive = unresponsive;
    const double backoff = std::exp2(std::max(0.0, endpoint.failure_score - 1));
    const double duration = std::min<double>(kLongestEjection, kFirstEjection * backoff);
    endpoint.ejected_until = context_.now + static_cast<Time>(context_.jittered(duration));
    scheduleReturn(endpoint.ejected_until);
    subset_.recompute();
    log_.write(RateLimitedLog::Kind::Ejected, "ejected " + endpoint.host.id, out);
    return true;
  }
  // Takes back less than a failure adds, so that partial failures show.
  static void recordSuccess(Endpoint& endpoint) { endpoint.failure_score *= kSuccessFactor; }

  // `asked`: when it was asked what it has answered now. An unresponsive one may have restarted since.
  void readmit(Endpoint& endpoint, Time asked, Actions& out) {
    if (!endpoint.ejected) return;
    endpoint.ejected = endpoint.ejected_with_zone = false;
    const bool may_have_restarted =
        endpoint.unresponsive && context_.settings.slow_start_duration > 0 && asked > endpoint.ejected_since;
    if (may_have_restarted) slow_start_.begin(endpoint, context_.now, StartEvidence::Suspected);
    subset_.recompute();
    log_.write(RateLimitedLog::Kind::Readmitted,
               "readmitted " + endpoint.host.id + (may_have_restarted ? " into slow start" : ""), out);
  }

  // Checks the health of ejected endpoints whose time is over, where that is permitted; of a zone one.
  void checkDue(Actions& out) {
    if (next_return_ == 0 || context_.now < next_return_) return;
    next_return_ = 0;
    std::vector<std::int32_t> checked_zones;
    for (Endpoint* endpoint : subset_.order()) {
      if (!endpoint->ejected) continue;
      if (context_.now < endpoint->ejected_until) {
        scheduleReturn(endpoint->ejected_until);
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
  void scheduleReturn(Time time) { next_return_ = next_return_ == 0 ? time : std::min(next_return_, time); }
  void checkAtNextEvent() { next_return_ = context_.now; }
  // When what was ejected now may return at the earliest.
  Time earliestReturn() { return context_.now + static_cast<Time>(context_.jittered(kFirstEjection)); }

 private:
  static constexpr Time kFirstEjection = kSecond;  // a trial each second is what an outlier may cost
  static constexpr double kHalfLife = 10e6;        // microseconds, of the failure score
  static constexpr double kEjectAt = 0.9;          // one clear failure, decayed a little
  static constexpr double kSuccessFactor = 0.8;

  // Never too many, and the last one is better than none.
  bool mayEjectOneMore(double max_ejected) const {
    const std::span<Endpoint* const> subset = subset_.span();
    const auto ejected = std::count_if(subset.begin(), subset.end(), [](auto* e) { return e->ejected; });
    const std::uint32_t usable = subset_.usable();
    return usable > 1 && static_cast<double>(ejected + 1) <= std::max(1.0, max_ejected * usable);
  }

  PolicyContext& context_;
  RateLimitedLog& log_;
  Subset& subset_;
  SlowStart& slow_start_;
  Time next_return_ = 0;  // the earliest end of an ejection; 0: nothing is ejected
};

}  // namespace load_balancer::policy
