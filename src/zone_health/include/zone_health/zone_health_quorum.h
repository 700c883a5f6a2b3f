// Whether zones are up, by a quorum of observers: a state machine that every member runs over the reports of
// all, with an epoch for each zone that only grows. No I/O, no clock. docs/design-zones.md explains the
// design.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "fleet/types.h"
#include "zone_observations/zone_observations.h"

namespace client_proxy::zone_health {

using fleet::Number;
using fleet::Time;

// In ascending order of severity.
enum class ZoneState : std::uint8_t {
  Up,
  Suspected,   // some member observes no responses; the others are to report. Local: not part of a ZoneStatus
  Recovering,  // a fraction of the members sends traffic there, which grows in stages
  Down,        // no member outside the zone sends traffic there, apart from health checks
};
// The name in pages and logs.
constexpr std::string_view nameOf(ZoneState s) {
  constexpr std::string_view kNames[] = {"up", "doubtful", "returning", "lost"};
  return kNames[static_cast<std::size_t>(s)];
}

// The agreed state of a zone: up, recovering or down. The higher epoch wins, within an epoch the more severe
// state, so that members converge on the same status in whatever order they receive the reports.
struct ZoneStatus {
  std::uint16_t epoch = 0;  // wraps around
  ZoneState state = ZoneState::Up;
  // Whether this status replaces `other`.
  bool supersedes(const ZoneStatus& other) const;
  friend bool operator==(const ZoneStatus&, const ZoneStatus&) = default;
};

// What one live member reports.
struct ObserverReport {
  Number member = 0;
  std::size_t zone = 0;               // in which the member runs
  std::vector<ZoneObservation> seen;  // by zone
  std::vector<ZoneStatus> statuses;   // by zone, the newest that the member has
};

struct Rules {
  // The quorum that declares a zone down: one in `members_per_observer` of the members that can observe it,
  // but at least `min_observers` and at most `max_observers`.
  std::size_t min_observers = 3, max_observers = 20, members_per_observer = 10;
  // One report of responses outweighs this many reports of none.
  std::size_t objection_weight = 10;
  // How long others may object: as long as gossip needs to reach all, which grows with each doubling of
  // members.
  Time suspicion_timeout = 500 * fleet::kMillisecond,
       suspicion_timeout_per_doubling = 100 * fleet::kMillisecond;
  // The time for objections begins when the other zones have responded to requests sent since the suspicion:
  // where they are slow, a response that objects is slow as well. It begins after this timeout at the latest,
  // since another zone may have no host left that responds.
  Time comparison_timeout = 2 * fleet::kSecond;
  // For this long after a change of any zone no other zone is declared down: what is observed of it may be
  // the effect of the load that has moved.
  Time settle_time = 10 * fleet::kSecond;
  Time first_downtime = 2 * fleet::kSecond;  // doubled with each flap
  Time max_downtime = 60 * fleet::kSecond;
  Time recovery_stage = 2 * fleet::kSecond;     // the duration of each stage
  Time flap_reset_after = 60 * fleet::kSecond;  // a zone that was up for this long has no flaps
};
// The fraction of the members that send traffic to a recovering zone, by stage; after the last it is up.
constexpr double kRecoveryStages[] = {0.05, 0.15, 0.4, 0.7};

// One member's view of the health of all zones.
class ZoneHealthQuorum {
 public:
  // `zones`: their number. `own`: the index of this member's zone.
  ZoneHealthQuorum(std::size_t zones, std::size_t own, const Rules& rules = {});

  // This member's own observation, when it changes.
  void observe(std::size_t zone, ZoneObservation seen) { own_observations_[zone] = seen; }
  // The time from which observations count. In a zone that is up, responses count from when it, or another
  // zone that it is compared with, was suspected; otherwise all observations count from the last change of
  // state.
  load_balancer::ZoneObservedSince since(std::size_t zone) const;
  ZoneObservation observation(std::size_t zone) const { return own_observations_[zone]; }
  // Every other zone is unresponsive: this member is the one that is partitioned, and its observations do not
  // count.
  bool isolated() const;

  // Evaluates the reports of all live members. `view_complete`: the view of the fleet is complete enough to
  // declare a state; otherwise only newer statuses are adopted. Returns whether the status of a zone has
  // changed.
  bool evaluate(Time now, const std::vector<ObserverReport>& reports, bool view_complete);
  const ZoneStatus& status(std::size_t zone) const { return zones_[zone].status; }
  ZoneState state(std::size_t zone) const {
    const Zone& z = zones_[zone];
    return z.suspected_now ? ZoneState::Suspected : z.status.state;
  }
  bool settledEverywhere() const;  // every zone is up and no member suspects one
  // Whether member `self` sends traffic to the zone. For a recovering zone a hash of epoch and member
  // decides, so that the fraction of the members that do grows stage by stage without coordination.
  bool sendsTraffic(std::size_t zone, Number self, Time now) const;
  // Whether member `self` is one of the few outside a zone that is down that check its hosts, chosen by the
  // same hash.
  static bool checksHealth(std::size_t zone, std::uint16_t epoch, Number self,
                           const std::vector<ObserverReport>& live);
  // Whether no traffic is sent to the zone. Only one zone is excluded at a time: of several that are down,
  // the one with the lowest index.
  bool excluded(std::size_t zone) const;
  // What this member reports of the zone; None when a report cannot affect the result.
  ZoneObservation reports(std::size_t zone) const { return zones_[zone].reported; }
  // The number of members that reported no responses, or responses, from the zone, at the last evaluate().
  std::size_t unresponsiveReports(std::size_t zone) const { return zones_[zone].unresponsive_reports; }
  std::size_t respondingReports(std::size_t zone) const { return zones_[zone].responding_reports; }
  // The earliest time at which a zone that is down may recover.
  Time downUntil(std::size_t zone) const { return zones_[zone].down_until; }
  std::uint32_t flaps(std::size_t zone) const { return zones_[zone].flaps; }
  std::size_t size() const { return zones_.size(); }

 private:
  struct Zone {
    ZoneStatus status;
    bool suspected_now = false;
    Time since = 0;                      // start of the current state, Suspected included
    Time declared_at = fleet::kLongAgo;  // the last change of status.state
    Time suspected_since = 0;            // when the first member reported it unresponsive
    bool comparison_done = false;  // since then the other zones have responded, or the timeout has expired
    Time comparison_done_at = 0;
    ZoneObservation reported = ZoneObservation::None;  // by this member
    Time up_before_suspicion = 0;                      // a duration
    Time down_until = 0;
    std::uint32_t flaps = 0;
    // At the last evaluate(), among the members of other zones: those that reported the zone unresponsive, or
    // responding; those that can observe it; the number of zones of those that reported it unresponsive, and
    // of all observers.
    std::size_t unresponsive_reports = 0, responding_reports = 0, observers = 0, reporting_zones = 0,
                other_zones = 0;
  };
  void countReports(Time now, std::size_t zone, const std::vector<ObserverReport>& reports);
  void beginComparison(Time now, std::size_t zone);
  void compare(Time now, std::size_t zone);
  bool othersRespond(std::size_t zone) const;
  static bool suspected(const Zone& zone) {
    return zone.status.state == ZoneState::Up && zone.unresponsive_reports > 0;
  }
  std::size_t quorumSize(const Zone& zone) const;
  bool unopposed(const Zone& zone) const;
  bool quorumReached(const Zone& zone) const;
  bool othersStable(Time now, const Zone& except) const;
  ZoneObservation worthReporting(std::size_t zone) const;
  void declare(Time now, Zone& zone, ZoneState state);
  void adopt(Time now, Zone& zone, const ZoneStatus& status);
  void advance(Time now, Zone& zone);

  const Rules rules_;
  const std::size_t own_;
  std::vector<ZoneObservation> own_observations_;
  std::vector<Zone> zones_;
};

}  // namespace client_proxy::zone_health
