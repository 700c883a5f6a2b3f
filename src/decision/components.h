// The components of the policy, put together. Each has its own state. The
// ordinary path is Rocksteadier subsetting and least in flight, ties by weighted turns; each exception says
// beside it when it acts.
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
  Components(const Components&) = delete;  // they refer to one another
  Components& operator=(const Components&) = delete;

  void onFirstEvent() {
    log.start(context.now);
    slow_start.start(context.now);
    polling.start(context.now);
  }
  // After any change of the settings.
  void onSettings() {
    shedder.onSettings();
    retries.onSettings();
  }
};

}  // namespace load_balancer::policy
