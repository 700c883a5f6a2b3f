#include "zone_health/zone_health_quorum.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <set>

#include "random/random.h"

namespace client_proxy::zone_health {
namespace {

constexpr std::size_t kHealthCheckers = 3;  // members that check the hosts of a zone that is down

// A number from 0 to 1 that is the same at all members: they choose some among them without coordination.
double uniformHash(std::size_t zone, std::uint16_t epoch, Number member) {
  const std::uint64_t seed = std::uint64_t{zone} << 32 | std::uint64_t{epoch} << 16 | member;
  return load_balancer::Random(seed).unit();
}

}  // namespace

bool ZoneStatus::supersedes(const ZoneStatus& other) const {
  // Serial number arithmetic (RFC 1982): an epoch less than half the range ahead is the later one.
  const auto ahead = static_cast<std::int16_t>(static_cast<std::uint16_t>(epoch - other.epoch));
  return ahead != 0 ? ahead > 0 : state > other.state;
}

ZoneHealthQuorum::ZoneHealthQuorum(std::size_t zones, std::size_t own, const Rules& rules)
    : rules_(rules), own_(own), own_observations_(zones, ZoneObservation::None), zones_(zones) {}

load_balancer::ZoneObservedSince ZoneHealthQuorum::since(std::size_t zone) const {
  const Zone& queried = zones_[zone];
  if (queried.status.state != ZoneState::Up) return {queried.since, queried.since};
  if (suspected(queried)) return {queried.suspected_since, fleet::kLongAgo};
  Time latest = fleet::kLongAgo;
  for (const Zone& z : zones_) {
    if (suspected(z)) latest = std::max(latest, z.suspected_since);
  }
  return {latest, fleet::kLongAgo};
}

bool ZoneHealthQuorum::isolated() const {
  std::size_t other_zones = 0;
  for (std::size_t z = 0; z < zones_.size(); ++z) {
    if (z == own_) continue;
    if (own_observations_[z] != ZoneObservation::Unresponsive) return false;
    ++other_zones;
  }
  return other_zones > 1;
}

// Reports of a zone's own members do not count: from inside, a zone that is partitioned looks healthy. While
// the zone is not up, only members that have adopted its status count: the others still report observations
// made before the change.
void ZoneHealthQuorum::countReports(Time now, std::size_t zone, const std::vector<ObserverReport>& reports) {
  Zone& z = zones_[zone];
  const bool before = z.unresponsive_reports > 0;
  z.unresponsive_reports = z.responding_reports = z.observers = 0;
  std::set<std::size_t> reporting_zones, other_zones;
  for (const ObserverReport& report : reports) {
    if (report.zone == zone) continue;
    ++z.observers;
    other_zones.insert(report.zone);
    if (z.status.state != ZoneState::Up && !(report.statuses[zone] == z.status)) continue;
    if (report.seen[zone] == ZoneObservation::Unresponsive) {
      ++z.unresponsive_reports;
      reporting_zones.insert(report.zone);
    } else if (report.seen[zone] == ZoneObservation::Responding) {
      ++z.responding_reports;
    }
  }
  z.reporting_zones = reporting_zones.size();
  z.other_zones = other_zones.size();
  if (z.unresponsive_reports > 0 && !before) beginComparison(now, zone);
}

// Responses that this member has observed until now were to requests sent before the suspicion, so they don't
// count in the comparison. Those of another zone that is suspected as well are kept.
void ZoneHealthQuorum::beginComparison(Time now, std::size_t zone) {
  Zone& z = zones_[zone];
  z.suspected_since = now;
  z.comparison_done = false;
  for (std::size_t other = 0; other < zones_.size(); ++other) {
    const bool of_another_suspicion = other != zone && suspected(zones_[other]);
    if (!of_another_suspicion && own_observations_[other] == ZoneObservation::Responding)
      own_observations_[other] = ZoneObservation::None;
  }
}

void ZoneHealthQuorum::compare(Time now, std::size_t zone) {
  Zone& z = zones_[zone];
  if (z.comparison_done || !suspected(z)) return;
  if (!othersRespond(zone) && now - z.suspected_since < rules_.comparison_timeout) return;
  z.comparison_done = true;
  z.comparison_done_at = now;
}

// Considers only zones that are up and not suspected, so that a second zone that is down causes no delay.
bool ZoneHealthQuorum::othersRespond(std::size_t zone) const {
  for (std::size_t other = 0; other < zones_.size(); ++other) {
    const Zone& z = zones_[other];
    const bool healthy = other != zone && z.status.state == ZoneState::Up && !suspected(z);
    if (healthy && own_observations_[other] != ZoneObservation::Responding) return false;
  }
  return true;
}

std::size_t ZoneHealthQuorum::quorumSize(const Zone& z) const {
  // Few members send traffic to a recovering zone, so few can report.
  const std::size_t part = z.status.state == ZoneState::Up ? z.observers / rules_.members_per_observer : 0;
  return std::min(std::clamp(part, rules_.min_observers, rules_.max_observers), z.observers);
}

// No member receives responses from a zone that is down; many do from one that is overloaded or has lost some
// hosts.
bool ZoneHealthQuorum::unopposed(const Zone& z) const {
  return z.unresponsive_reports > 0 &&
         z.unresponsive_reports >= rules_.objection_weight * z.responding_reports;
}

// Several observers, in at least two zones where there are two others.
bool ZoneHealthQuorum::quorumReached(const Zone& z) const {
  return unopposed(z) && z.unresponsive_reports >= quorumSize(z) &&
         z.reporting_zones >= std::min<std::size_t>(2, z.other_zones);
}

// The load of a zone that went down moves to the others, so observations made in the settle time are no
// reason to declare another one down. If two zones fail at once, each client detects the second by its own
// attempts.
bool ZoneHealthQuorum::othersStable(Time now, const Zone& except) const {
  return std::all_of(zones_.begin(), zones_.end(), [&](const Zone& z) {
    return &z == &except || (z.status.state == ZoneState::Up && now - z.declared_at >= rules_.settle_time);
  });
}

void ZoneHealthQuorum::adopt(Time now, Zone& zone, const ZoneStatus& status) {
  const ZoneState was = zone.status.state;
  const Time up_before_suspicion = zone.suspected_now ? zone.up_before_suspicion : now - zone.since;
  zone.status = status;
  if (status.state == was) return;
  zone.declared_at = now;
  if (status.state == ZoneState::Down) {
    // Exponential backoff for a zone that flaps.
    const bool was_steady = was == ZoneState::Up && up_before_suspicion >= rules_.flap_reset_after;
    zone.flaps = was_steady ? 1 : zone.flaps + 1;
    const auto doubled = std::min<std::uint32_t>(zone.flaps - 1, 10);
    zone.down_until = now + std::min(rules_.max_downtime, rules_.first_downtime << doubled);
  }
  zone.suspected_now = false;
  zone.since = zone.suspected_since = now;
  zone.comparison_done = false;
}

void ZoneHealthQuorum::declare(Time now, Zone& zone, ZoneState state) {
  adopt(now, zone, {static_cast<std::uint16_t>(zone.status.epoch + 1), state});
}

void ZoneHealthQuorum::advance(Time now, Zone& z) {
  const Time age = now - z.since;
  switch (z.status.state) {
    case ZoneState::Down:
      if (now >= z.down_until && z.responding_reports > z.unresponsive_reports)
        declare(now, z, ZoneState::Recovering);
      return;
    case ZoneState::Recovering:
      if (quorumReached(z))
        declare(now, z, ZoneState::Down);
      else if (age >= rules_.recovery_stage * static_cast<Time>(std::size(kRecoveryStages)))
        declare(now, z, ZoneState::Up);
      return;
    default:
      break;
  }
  const bool suspected_now = unopposed(z);
  const Time wait =
      rules_.suspicion_timeout + rules_.suspicion_timeout_per_doubling *
                                     static_cast<Time>(std::bit_width(static_cast<unsigned>(z.observers)));
  if (suspected_now != z.suspected_now) {
    if (suspected_now) z.up_before_suspicion = age;
    z.suspected_now = suspected_now;
    z.since = now;
  } else if (suspected_now && age >= wait && z.comparison_done && now - z.comparison_done_at >= wait &&
             quorumReached(z) && othersStable(now, z)) {
    declare(now, z, ZoneState::Down);
  }
}

bool ZoneHealthQuorum::evaluate(Time now, const std::vector<ObserverReport>& reports, bool view_complete) {
  bool changed = false;
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    Zone& z = zones_[zone];
    const ZoneStatus before = z.status;
    for (const ObserverReport& report : reports) {
      if (report.statuses[zone].supersedes(z.status)) adopt(now, z, report.statuses[zone]);
    }
    countReports(now, zone, reports);
    compare(now, zone);
    if (view_complete && !isolated()) advance(now, z);
    if (z.status.state != before.state)
      own_observations_[zone] = ZoneObservation::None;  // it was made before the change
    changed = changed || !(z.status == before);
  }
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) zones_[zone].reported = worthReporting(zone);
  return changed;
}

bool ZoneHealthQuorum::settledEverywhere() const {
  return std::all_of(zones_.begin(), zones_.end(), [](const Zone& z) {
    return z.status.state == ZoneState::Up && !z.suspected_now && z.unresponsive_reports == 0 &&
           z.reported == ZoneObservation::None;
  });
}

bool ZoneHealthQuorum::sendsTraffic(std::size_t zone, Number self, Time now) const {
  const Zone& z = zones_[zone];
  if (z.status.state != ZoneState::Recovering) return !excluded(zone);
  const auto recovery_stage =
      static_cast<std::size_t>(std::max<Time>(0, now - z.since) / rules_.recovery_stage);
  return recovery_stage >= std::size(kRecoveryStages) ||
         uniformHash(zone, z.status.epoch, self) < kRecoveryStages[recovery_stage];
}

bool ZoneHealthQuorum::checksHealth(std::size_t zone, std::uint16_t epoch, Number self,
                                    const std::vector<ObserverReport>& live) {
  std::size_t before = 0;
  const double own = uniformHash(zone, epoch, self);
  for (const ObserverReport& report : live) {
    if (report.zone == zone && report.member == self) return false;
    const double other = uniformHash(zone, epoch, report.member);
    if (report.zone != zone && report.member != self &&
        (other < own || (other == own && report.member < self)))
      ++before;
  }
  return before < kHealthCheckers;
}

bool ZoneHealthQuorum::excluded(std::size_t zone) const {
  const auto is_down = [](const Zone& z) { return z.status.state == ZoneState::Down; };
  return is_down(zones_[zone]) && std::find_if(zones_.begin(), zones_.end(), is_down) - zones_.begin() ==
                                      static_cast<std::ptrdiff_t>(zone);
}

// Suppresses reports that cannot affect the result, since hundreds of equal ones would fill the fleet's
// datagrams: a zone is reported unresponsive by a quorum and a few more members, and responding by as many as
// outweigh those. For a zone that is down only responses are reported, for one that is up and not suspected
// nothing is.
ZoneObservation ZoneHealthQuorum::worthReporting(std::size_t zone) const {
  const Zone& z = zones_[zone];
  const ZoneObservation observed = own_observations_[zone];
  if (zone == own_ || observed == ZoneObservation::None || isolated()) return ZoneObservation::None;
  const ZoneState state = z.status.state;
  if (observed == ZoneObservation::Unresponsive) {
    if (state == ZoneState::Down) return ZoneObservation::None;
    return z.reported == observed || z.unresponsive_reports < quorumSize(z) + rules_.min_observers
               ? observed
               : ZoneObservation::None;
  }
  if (state == ZoneState::Up && z.unresponsive_reports == 0) return ZoneObservation::None;
  return z.reported == observed || z.responding_reports < rules_.min_observers + 2 * z.unresponsive_reports /
                                                                                     rules_.objection_weight
             ? observed
             : ZoneObservation::None;
}

}  // namespace client_proxy::zone_health
