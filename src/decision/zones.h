// Zones that are lost as a whole: by own attempts, or because all clients together hold it.
#pragma once

#include "health.h"
#include "zone_observations/zone_observations.h"

namespace load_balancer::decision {

struct Zones : Health {
  // Silence of a zone is the zone's: lost, or cut off from here; no bound on the ejected keeps its servers.
  // Late answers are load as well: a probe tells.
  void silence(Server& s, Time sent, bool unreachable, Actions& out) {
    zone_observations.note(s.host.zone, s.host.id, sent, now, unreachable);
    if (!zone_observations.unresponsive(s.host.zone, s.host.id, sent)) return;
    if (settings.may_health_check && !unreachable) return probe(s, out);
    ejectZone(s.host.zone, soonBack(), out);
  }
  // Somebody there answers; the zone is back for others too only where it was not given up in common.
  void answered(Server& s, Time asked, Actions& out) {
    zone_observations.answered(s.host.zone, asked, now);
    if (s.by_zone && !zone_orders.contains(s.host.zone)) takeZoneBack(s.host.zone, asked, out);
  }
  // It has not answered a probe; nor has its whole zone, if it was asked for that.
  void stillSilent(const Server& s, Time asked) {
    zone_observations.note(s.host.zone, s.host.id, asked, now, true);
    if (!s.by_zone) return;
    zone_observations.unresponsive(s.host.zone, s.host.id, now);
    for (Server* o : order) {
      if (o->by_zone && o->host.zone == s.host.zone) o->out_until = s.out_until;
    }
  }
  void setZone(std::int32_t zone, ZoneDirective verdict, Actions& out) {
    const auto it = zone_orders.find(zone);
    if (verdict == (it == zone_orders.end() ? ZoneDirective::None : it->second)) return;
    zone_orders.erase(zone);
    if (verdict == ZoneDirective::None) {
      zone_observations.forget(zone);
      return takeZoneBack(zone, now, out);
    }
    zone_orders[zone] = verdict;
    const Time until = soonBack();
    ejectZone(zone, verdict == ZoneDirective::EjectAndCheck ? until : std::numeric_limits<Time>::max(), out,
              true);
  }
  ZoneObservation observeZone(std::int32_t zone, const ZoneObservedSince& since) const {
    return zone_observations.seen(zone, now, since);
  }

  Time soonBack() { return now + static_cast<Time>(kFirstOut * spreadOut()); }

  // `whole`: those too that are out by themselves.
  void ejectZone(std::int32_t zone, Time until, Actions& out, bool whole = false) {
    const bool others =
        std::any_of(order.begin(), order.end(), [&](auto* o) { return o->usable() && o->host.zone != zone; });
    if (!others) return;
    for (Server* o : order) {
      if (o->host.zone != zone || (o->out && !o->by_zone && !whole)) continue;
      if (!o->out) o->out_since = now;
      o->out = o->unresponsive = o->by_zone = true;
      o->out_until = until;
    }
    returnAt(until);
    measureReach();
    trace(out, Line::Zoned, "ejected zone " + std::to_string(zone));
  }
  void takeZoneBack(std::int32_t zone, Time asked, Actions& out) {
    for (Server* o : order) {
      if (o->by_zone && o->host.zone == zone) readmit(*o, asked, out);
    }
  }

  client_proxy::zone_health::ZoneObservations zone_observations;
  std::map<std::int32_t, ZoneDirective> zone_orders;  // that are not free
};

}  // namespace load_balancer::decision
