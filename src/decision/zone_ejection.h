// Ejection of a whole zone: because of this client's own attempts, or because the fleet considers it down.
#pragma once

#include "outlier_detection.h"
#include "zone_observations/zone_observations.h"

namespace load_balancer::policy {

class ZoneEjection {
 public:
  ZoneEjection(const PolicyContext& context, RateLimitedLog& log, Subset& subset, OutlierDetector& outliers)
      : context_(context), log_(log), subset_(subset), outliers_(outliers) {}

  // An attempt sent at `sent` got no response. If other zones respond, the fault is in the zone or in the
  // network path to it, and the limit on the ejected fraction does not apply. A missing response may also be
  // due to load, which a health check distinguishes. `unreachable`: no connection was established, or a
  // health check failed.
  void onNoResponse(Endpoint& endpoint, Time sent, bool unreachable, Actions& out) {
    const std::int32_t zone = endpoint.host.zone;
    observations_.recordForReport(zone, endpoint.host.id, sent, context_.now, unreachable);
    if (!observations_.recordNoResponse(zone, endpoint.host.id, sent)) return;
    if (context_.settings.may_health_check && !unreachable)
      return OutlierDetector::checkHealth(endpoint, out);
    eject(zone, outliers_.firstEjectionEnd(), false, out);
  }
  // An attempt or health check sent at `sent` got a response.
  void onResponse(const Endpoint& endpoint, Time sent, Actions& out) {
    const std::int32_t zone = endpoint.host.zone;
    observations_.recordResponse(zone, sent, context_.now);
    if (endpoint.ejected_with_zone && !directives_.contains(zone)) readmit(zone, sent, out);
  }
  // The health check of an endpoint that is not ejected, sent at `sent`, has succeeded or failed.
  void onHealthCheck(Endpoint& endpoint, bool healthy, Time sent, Actions& out) {
    if (healthy) observations_.recordResponse(endpoint.host.zone, sent, context_.now);
    if (!healthy && observations_.suspected(endpoint.host.zone)) onNoResponse(endpoint, sent, true, out);
  }
  // The health check of an ejected endpoint has failed. If it was ejected with its zone, the ejection of the
  // zone is extended along with its own.
  void onFailedReadmission(const Endpoint& endpoint, Time sent) {
    observations_.recordForReport(endpoint.host.zone, endpoint.host.id, sent, context_.now, true);
    if (!endpoint.ejected_with_zone) return;
    observations_.recordNoResponse(endpoint.host.zone, endpoint.host.id, context_.now);
    for (Endpoint* other : subset_.order()) {
      if (other->ejected_with_zone && other->host.zone == endpoint.host.zone)
        other->ejected_until = endpoint.ejected_until;
    }
  }

  // Applies the fleet's decision on a zone.
  void setDirective(std::int32_t zone, ZoneDirective directive, Actions& out) {
    const auto it = directives_.find(zone);
    if (directive == (it == directives_.end() ? ZoneDirective::None : it->second)) return;
    directives_.erase(zone);
    if (directive == ZoneDirective::None) {
      observations_.forget(zone);
      return readmit(zone, context_.now, out);
    }
    directives_[zone] = directive;
    const Time checked_from = outliers_.firstEjectionEnd();
    const bool checked = directive == ZoneDirective::EjectAndCheck;
    eject(zone, checked ? checked_from : std::numeric_limits<Time>::max(), true, out);
  }
  ZoneObservation observe(std::int32_t zone, const ZoneObservedSince& since) const {
    return observations_.report(zone, context_.now, since);
  }

 private:
  // Ejects a zone, unless no endpoint of another zone is usable. `all`: including endpoints that are already
  // ejected individually.
  void eject(std::int32_t zone, Time until, bool all, Actions& out) {
    const std::vector<Endpoint*>& order = subset_.order();
    const bool others =
        std::any_of(order.begin(), order.end(), [&](auto* e) { return e->usable() && e->host.zone != zone; });
    if (!others) return;
    for (Endpoint* endpoint : order) {
      if (endpoint->host.zone != zone) continue;
      if (endpoint->ejected && !endpoint->ejected_with_zone && !all) continue;
      if (!endpoint->ejected) endpoint->ejected_since = context_.now;
      endpoint->ejected = endpoint->unresponsive = endpoint->ejected_with_zone = true;
      endpoint->ejected_until = until;
    }
    outliers_.scheduleCheck(until);
    subset_.recompute();
    log_.write(RateLimitedLog::Kind::Zone, "ejected zone " + std::to_string(zone), out);
  }
  void readmit(std::int32_t zone, Time sent, Actions& out) {
    for (Endpoint* endpoint : subset_.order()) {
      if (endpoint->ejected_with_zone && endpoint->host.zone == zone) outliers_.readmit(*endpoint, sent, out);
    }
  }

  const PolicyContext& context_;
  RateLimitedLog& log_;
  Subset& subset_;
  OutlierDetector& outliers_;
  client_proxy::zone_health::ZoneObservations observations_;
  std::map<std::int32_t, ZoneDirective> directives_;  // other than None
};

}  // namespace load_balancer::policy
