// Why an endpoint was chosen, for staff. It decides nothing.
#pragma once

#include <algorithm>

#include "endpoint_selection.h"

namespace load_balancer::policy {

// To be asked before the attempt is counted. Walks the order, hence only where the settings ask for it.
inline Reason explain(const PendingRequest& request, const Endpoint& endpoint, bool by_load_report,
                      const RetryPolicy& retries, const Subset& subset) {
  const std::vector<Endpoint*>& order = subset.order();
  const auto found = std::find(order.begin(), order.end(), &endpoint);
  const auto position = static_cast<std::size_t>(found - order.begin());
  if (endpoint.ejected) return Reason::EjectionTrial;
  if (retries.boundToScope(request)) return Reason::ScopedRetry;
  if (endpoint.slow_start_since != 0) return Reason::SlowStart;
  if (by_load_report) return Reason::LeastReportedLoad;
  if (position >= subset.targetSize() || position >= subset.end()) return Reason::Substitute;
  return position >= Subset::kSize ? Reason::ExtendedSubset : Reason::LeastLoaded;
}

}  // namespace load_balancer::policy
