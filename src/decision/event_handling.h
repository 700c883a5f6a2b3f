// Handles events that concern several components: lists, health checks, timers, and maintenance of hosts.
#pragma once

#include "request_lifecycle.h"

namespace load_balancer::policy {

class EventHandling {
 public:
  EventHandling(Components& components, RequestLifecycle& lifecycle)
      : policy_(components), lifecycle_(lifecycle) {}

  void onServers(ListKind kind, std::span<const Host> hosts, Actions& out) {
    if (policy_.discovery.apply(kind, hosts, out)) onListChanged();
    policy_.discovery.scheduleFirstCall(kind, out);
  }
  // To be called after any change of which endpoints are listed or in maintenance.
  void onListChanged() {
    policy_.subset.rebuildOrder();
    policy_.polling.removeUnlisted();
    policy_.endpoints.eraseRemoved();
  }

  void onHealthCheck(std::string_view id, bool healthy, Time latency, const LoadReport& load, Actions& out) {
    Endpoint* const endpoint = policy_.endpoints.find(id);
    if (endpoint == nullptr || !endpoint->health_check_pending) return;
    endpoint->health_check_pending = false;
    const Time now = policy_.context.now;
    if (healthy && load.in_flight >= 0) {
      endpoint->reported_load = load.in_flight;
      endpoint->reported_at = now;
    }
    if (endpoint->ejected) return onReadmissionCheck(*endpoint, healthy, now - latency, out);
    policy_.zones.onHealthCheck(*endpoint, healthy, now - latency, out);
    for (const RequestId waiting : policy_.polling.onHealthCheck(*endpoint, healthy))
      lifecycle_.resume(waiting, out);
  }

  void onTimer(std::uint64_t timer, Actions& out) {
    if (timer == DiscoveryUpdates::kTimer) policy_.discovery.onTimer(out);
    lifecycle_.onTimer(timer, out);
  }

  // Returns false if there is no such endpoint. At the end of maintenance an endpoint is assumed to have been
  // restarted.
  bool setMaintenance(std::string_view id, bool in_maintenance) {
    Endpoint* const endpoint = policy_.endpoints.find(id);
    if (endpoint == nullptr || !(endpoint->listed || endpoint->in_maintenance)) return false;
    if (endpoint->in_maintenance == in_maintenance) return true;
    endpoint->in_maintenance = in_maintenance;
    if (!in_maintenance) {
      endpoint->resetFailures();
      policy_.slow_start.begin(*endpoint, policy_.context.now, StartEvidence::Reported);
      if (!endpoint->listed) policy_.endpoints.releaseSlot(*endpoint);
    }
    onListChanged();
    return true;
  }

 private:
  // The health check of an ejected endpoint, sent at `sent`, has ended.
  void onReadmissionCheck(Endpoint& endpoint, bool healthy, Time sent, Actions& out) {
    if (!endpoint.listed) {
      if (endpoint.ejected_with_zone) policy_.outliers.checkAtNextEvent();  // check another one of its zone
    } else if (healthy) {
      endpoint.unconfirmed = true;
      policy_.zones.onResponse(endpoint, policy_.context.now, out);
      policy_.outliers.readmit(endpoint, policy_.context.now, out);
    } else {
      policy_.outliers.recordFailure(endpoint, OutlierDetector::kClearFailure, true, out);
      policy_.zones.onFailedReadmission(endpoint, sent);
    }
  }

  Components& policy_;
  RequestLifecycle& lifecycle_;
};

}  // namespace load_balancer::policy
