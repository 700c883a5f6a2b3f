// Events that concern several components: lists, health checks, timers, and hosts in maintenance.
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
  // After any change of who is listed or in maintenance.
  void onListChanged() {
    policy_.subset.rebuildOrder();
    policy_.polling.forgetUnlisted();
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
    if (endpoint->ejected) return onReturnChecked(*endpoint, healthy, now - latency, out);
    policy_.zones.onHealthCheck(*endpoint, healthy, now - latency, out);
    for (const RequestId waiting : policy_.polling.onHealthCheck(*endpoint, healthy))
      lifecycle_.resume(waiting, out);
  }

  void onTimer(std::uint64_t timer, Actions& out) {
    if (timer == DiscoveryUpdates::kTimer) policy_.discovery.onTimer(out);
    lifecycle_.onTimer(timer, out);
  }

  // False: there is no such endpoint. One that is put back has been restarted meanwhile.
  bool setMaintenance(std::string_view id, bool in_maintenance) {
    Endpoint* const endpoint = policy_.endpoints.find(id);
    if (endpoint == nullptr || !(endpoint->listed || endpoint->in_maintenance)) return false;
    if (endpoint->in_maintenance == in_maintenance) return true;
    endpoint->in_maintenance = in_maintenance;
    if (!in_maintenance) {
      endpoint->forgetFailures();
      policy_.slow_start.begin(*endpoint, policy_.context.now, StartEvidence::Told);
      if (!endpoint->listed) policy_.endpoints.freeSlot(*endpoint);
    }
    onListChanged();
    return true;
  }

 private:
  // The health check of an ejected endpoint has ended.
  void onReturnChecked(Endpoint& endpoint, bool healthy, Time asked, Actions& out) {
    if (!endpoint.listed) {
      if (endpoint.ejected_with_zone) policy_.outliers.checkAtNextEvent();  // another one of its zone
    } else if (healthy) {
      endpoint.unproven = true;
      policy_.zones.onResponse(endpoint, policy_.context.now, out);
      policy_.outliers.readmit(endpoint, policy_.context.now, out);
    } else {
      policy_.outliers.recordFailure(endpoint, OutlierDetector::kClearFailure, true, out);
      policy_.zones.onFailedReturn(endpoint, asked);
    }
  }

  Components& policy_;
  RequestLifecycle& lifecycle_;
};

}  // namespace load_balancer::policy
