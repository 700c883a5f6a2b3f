// Conversion of an endpoint's state to and from the snapshot that one Balancer passes to its replacement.
#pragma once

#include "outlier_detection.h"

namespace load_balancer::policy {

inline HostSnapshot toSnapshot(const Endpoint& endpoint) {
  return {.id = endpoint.host.id,
          .slot = endpoint.slot,
          .in_maintenance = endpoint.in_maintenance,
          .ejected = endpoint.ejected,
          .unresponsive = endpoint.unresponsive,
          .ejected_since = endpoint.ejected_since,
          .ejected_until = endpoint.ejected_until,
          .failure_score = endpoint.failure_score,
          .failure_score_at = endpoint.failure_score_at,
          .slow_start_since = endpoint.slow_start_since,
          .latency_ratio = endpoint.latency_ratio};
}

// Values out of range are ignored.
inline void restoreFrom(const HostSnapshot& snapshot, const PolicyContext& context,
                        const SlowStart& slow_start, OutlierDetector& outliers, Endpoint& endpoint) {
  endpoint.in_maintenance = snapshot.in_maintenance;
  if (std::isfinite(snapshot.latency_ratio) && snapshot.latency_ratio > 0)
    endpoint.latency_ratio = std::min(snapshot.latency_ratio, Endpoint::kMaxLatencyRatio);
  if (std::isfinite(snapshot.failure_score) && snapshot.failure_score >= 0)
    endpoint.failure_score = snapshot.failure_score;
  endpoint.failure_score_at = std::min(std::max<Time>(snapshot.failure_score_at, 0), context.now);
  // The other Balancer has followed the changes of the list, which show starts more reliably than a full
  // list.
  const Time age = context.now - snapshot.slow_start_since;
  if (snapshot.slow_start_since == 0 || age >= context.settings.slow_start_duration) {
    endpoint.slow_start_since = 0;
  } else if (snapshot.slow_start_since > 0 && age >= 0) {
    slow_start.begin(endpoint, snapshot.slow_start_since, StartEvidence::Reported);
  }
  if (endpoint.slow_start_since != 0) endpoint.slow_start_tokens = 0;  // the other may have spent them
  if (!snapshot.ejected) return;
  endpoint.ejected = true;
  endpoint.unresponsive = snapshot.unresponsive;
  endpoint.ejected_since = std::min(snapshot.ejected_since, context.now);
  endpoint.ejected_until = std::min(snapshot.ejected_until, context.now + OutlierDetector::kMaxEjection);
  outliers.scheduleCheck(endpoint.ejected_until);
}

}  // namespace load_balancer::policy
