// The components of the policy, wired together. Each has its own state. By default requests are distributed
// by Rocksteadier subsetting and least requests in flight, ties by weighted fair queueing; each component
// that deviates from this documents when it does.
#pragma once

#include "discovery_updates.h"
#include "invariant_checker.h"
#include "load_report_polling.h"
#include "load_shedding.h"
#include "zone_ejection.h"

namespace load_balancer::policy {

struct Components {
  PolicyContext context;
  RateLimitedLog log{context};
  PendingRequests requests;
  EndpointTable endpoints;
  Subset subset{context, log, endpoints};
  SlowStart slow_start{context, subset};
  OutlierDetector outliers{context, log, subset, slow_start};
  ZoneEjection zones{context, log, subset, outliers};
  RetryPolicy retries{context};
  SendGuard guard{context, retries, slow_start};
  InvariantChecker invariants{context, log};
  EndpointSelector selector{context, subset, guard, retries};
  LoadReportPolling polling{context, subset, selector, requests};
  LoadShedder shedder{context, log};
  DiscoveryUpdates discovery{context, log, endpoints, slow_start};

  Components() = default;
  Components(const Components&) = delete;  // the components hold references to one another
  Components& operator=(const Components&) = delete;

  void onFirstEvent() {
    log.start(context.now);
    slow_start.start(context.now);
    polling.start(context.now);
  }
  // To be called after any change of the settings.
  void onSettings() {
    shedder.onSettings();
    retries.onSettings();
  }
};

}  // namespace load_balancer::policy
