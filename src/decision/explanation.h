// Explains to operators why an endpoint was chosen. Has no effect on decisions.
#pragma once

#include <algorithm>

#include "endpoint_selection.h"

namespace load_balancer::policy {

// To be called before the attempt is counted. Searches the whole order, so it is used only if
// Settings::explain is on.
inline Reason explain(const PendingRequest& request, const Endpoint& endpoint, bool by_load_report,
                      const RetryPolicy& retries, const Subset& subset) {
  const std::vector<Endpoint*>& order = subset.order();
  const auto found = std::find(order.begin(), order.end(), &endpoint);
  const auto position = static_cast<std::size_t>(found - order.begin());
  if (endpoint.ejected) return Reason::EjectionTrial;
  if (retries.restrictedToScope(request)) return Reason::ScopedRetry;
  if (endpoint.slow_start_since != 0) return Reason::SlowStart;
  if (by_load_report) return Reason::LeastReportedLoad;
  if (position >= subset.targetSize() || position >= subset.end()) return Reason::Substitute;
  return position >= Subset::kSize ? Reason::ExtendedSubset : Reason::LeastLoaded;
}

}  // namespace load_balancer::policy
