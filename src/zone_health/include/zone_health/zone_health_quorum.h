// Whether zones are up, by a quorum of observers: a state machine that every member runs over the reports of
// all, with an epoch for each zone that only grows. No I/O, no clock. docs/design-zones.md says why it is so.
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

// In the order of severity.
enum class ZoneState : std::uint8_t {
  Up,
  Suspected,   // some member observes no responses; the others are to report. Local: not part of a ZoneStatus
  Recovering,  // a part of the members sends there, which grows by stages
  Down,        // nobody sends there as a matter of course
};
// As pages and logs show them.
constexpr std::string_view nameOf(ZoneState s) {
  constexpr std::string_view kNames[] = {"up", "doubtful", "returning", "lost"};
  return kNames[static_cast<std::size_t>(s)];
}

// The agreed state of a zone: up, recovering or down. The higher epoch wins, within an epoch the severer
// state: members converge on the same one in whatever order they learn of it.
struct ZoneStatus {
  std::uint16_t epoch = 0;
  ZoneState state = ZoneState::Up;
  bool supersedes(const ZoneStatus& other) const;
  friend bool operator==(const ZoneStatus&, const ZoneStatus&) = default;
};

// What one live member reports.
struct ObserverReport {
  Number member = 0;
  std::size_t zone = 0;               // the member's own
  std::vector<ZoneObservation> seen;  // by zone
  std::vector<ZoneStatus> statuses;   // by zone, as it knows them
};

struct Rules {
  // The quorum that declares a zone down: one in so many of the members that can observe it, within bounds.
  std::size_t min_observers = 3, max_observers = 20, members_per_observer = 10;
  // A member that has responses outweighs so many that have none.
  std::size_t objection_weight = 10;
  // How long others may object: as long as gossip needs to reach all, which grows with each doubling of
  // members.
  Time suspicion_timeout = 500 * fleet::kMillisecond,
       suspicion_timeout_per_doubling = 100 * fleet::kMillisecond;
  // That time begins when the other zones have responded to what was sent since the suspicion: where they are
  // slow, so is a response that objects. At the latest it begins after this: a zone may have no host left.
  Time comparison_timeout = 2 * fleet::kSecond;
  // After a change of any zone: what is observed of the others meanwhile may come from the load that it
  // moved.
  Time settle_time = 10 * fleet::kSecond;
  Time first_downtime = 2 * fleet::kSecond;  // doubled with each flap
  Time max_downtime = 60 * fleet::kSecond;
  Time recovery_stage = 2 * fleet::kSecond;
  Time flap_reset_after = 60 * fleet::kSecond;  // up for so long
};
// The part of the members that send to a recovering zone, stage by stage; then it is up.
constexpr double kRecoveryStages[] = {0.05, 0.15, 0.4, 0.7};

class ZoneHealthQuorum {
 public:
  ZoneHealthQuorum(std::size_t zones, std::size_t own, const Rules& rules = {});

  // This member's own observation, when it changes.
  void observe(std::size_t zone, ZoneObservation seen) { own_observations_[zone] = seen; }
  // From when on observations count: responses since this zone, or the one that it is compared with, was
  // suspected; both since the last change of state.
  load_balancer::ZoneObservedSince since(std::size_t zone) const;
  ZoneObservation observation(std::size_t zone) const { return own_observations_[zone]; }
  // Every other zone is unresponsive: the partition is this member's, and its observations do not count.
  bool isolated() const;

  // Evaluates the reports of all live members. `sure`: the view of the fleet is complete enough to declare a
  // state; else only states of higher epochs are adopted. Returns whether the status of a zone has changed.
  bool evaluate(Time now, const std::vector<ObserverReport>& reports, bool sure);
  const ZoneStatus& status(std::size_t zone) const { return zones_[zone].status; }
  ZoneState state(std::size_t zone) const {
    const Zone& z = zones_[zone];
    return z.suspected_now ? ZoneState::Suspected : z.status.state;
  }
  bool settledEverywhere() const;  // every zone is up and nobody suspects one
  // Whether member `self` sends there. Of a recovering zone a hash of epoch and member says so, so that the
  // part of the fleet that does grows stage by stage without coordination.
  bool sendsTraffic(std::size_t zone, Number self, Time now) const;
  // Whether it is one of the few outside a zone that is down that check its hosts, by the same hash.
  static bool checksHealth(std::size_t zone, std::uint16_t epoch, Number self,
                           const std::vector<ObserverReport>& live);
  // Only one zone is excluded at a time: of several that were declared down in the same moment the first.
  bool excluded(std::size_t zone) const;
  // What this member reports, only as long as it helps to settle something.
  ZoneObservation reports(std::size_t zone) const { return zones_[zone].reported; }
  // Members without and with responses from there, at the last evaluate().
  std::size_t unresponsiveReports(std::size_t zone) const { return zones_[zone].unresponsive_reports; }
  std::size_t respondingReports(std::size_t zone) const { return zones_[zone].responding_reports; }
  // From when a zone that is down may recover.
  Time downUntil(std::size_t zone) const { return zones_[zone].down_until; }
  std::uint32_t flaps(std::size_t zone) const { return zones_[zone].flaps; }
  std::size_t size() const { return zones_.size(); }

 private:
  struct Zone {
    ZoneStatus status;
    bool suspected_now = false;
    Time since = 0;                      // of the state
    Time declared_at = fleet::kLongAgo;  // the last change of state
    Time suspected_since = 0;            // when the first member reported it unresponsive
    bool comparison_done = false;        // since then the other zones have responded, or had the time to
    Time comparison_done_at = 0;
    ZoneObservation reported = ZoneObservation::None;  // by this member
    Time up_before_suspicion = 0;                      // how long
    Time down_until = 0;
    std::uint32_t flaps = 0;
    // At the last evaluate(), of the members of other zones: their reports, how many can observe the zone, in
    // how many zones those are that report it unresponsive, and how many zones all are in.
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
  bool othersStable(Time now, const Zone& but) const;
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
