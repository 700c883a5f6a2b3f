// Whether a zone is up, by what many proxies have seen of it: a state machine that every member runs over
// what the members tell, with an epoch that only grows. No I/O, no clock. docs/design-zones.md says why it is
// so.
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

// In the order of gravity.
enum class ZoneState : std::uint8_t {
  Up,
  Suspected,   // somebody hears nothing from there: others are to say what they see. Each for itself, no
               // verdict
  Recovering,  // a part of the members goes there, which grows by stages
  Down,        // nothing goes there as a matter of course
};
constexpr std::string_view nameOf(ZoneState s) {
  constexpr std::string_view kNames[] = {"up", "doubtful", "returning", "lost"};
  return kNames[static_cast<std::size_t>(s)];
}

// Of a zone: up, returning or lost. The higher epoch wins, at one epoch the graver state: so all end with the
// same one, in whatever order they hear of it.
struct ZoneStatus {
  std::uint16_t epoch = 0;
  ZoneState state = ZoneState::Up;
  bool over(const ZoneStatus& other) const;
  friend bool operator==(const ZoneStatus&, const ZoneStatus&) = default;
};

// What one live member tells.
struct ObserverReport {
  Number member = 0;
  std::size_t zone = 0;               // where it is
  std::vector<ZoneObservation> seen;  // by zone
  std::vector<ZoneStatus> statuses;   // by zone, as it holds them
};

struct Rules {
  // Witnesses of a silence: one in so many of the members that could tell, within these bounds.
  std::size_t least = 3, most = 20, one_in = 10;
  // One that is answered outweighs so many that are not.
  std::size_t objection = 10;
  // In which others may object: as long as their words need to go round, which grows with each doubling of
  // the members.
  Time doubt = 500 * fleet::kMillisecond, doubt_each = 100 * fleet::kMillisecond;
  // That time begins when the other zones have answered what was sent since the doubt: where they are slow,
  // so is the answer that objects. It begins after this at the latest, for a zone may have nobody to answer.
  Time longest_comparison = 2 * fleet::kSecond;
  // After a verdict on any zone: what is seen of the others meanwhile may come from the load that it moved.
  Time settle = 10 * fleet::kSecond;
  Time first_away = 2 * fleet::kSecond;  // after a loss; doubled with each flap
  Time longest_away = 60 * fleet::kSecond;
  Time stage = 2 * fleet::kSecond;    // of a return
  Time steady = 60 * fleet::kSecond;  // up for so long: flaps before are forgotten
};
// The part of the members that go to a returning zone, stage by stage; then it is up.
constexpr double kStages[] = {0.05, 0.15, 0.4, 0.7};

class ZoneHealthQuorum {
 public:
  ZoneHealthQuorum(std::size_t zones, std::size_t own, const Rules& rules = {});

  // This member's own sight of a zone, when it changes.
  void observe(std::size_t zone, ZoneObservation seen) { own_seen_[zone] = seen; }
  // What was sent before says nothing: of answers since somebody began to hear nothing from there, or from
  // the zone that they are compared with; of both since the last verdict.
  load_balancer::ZoneObservedSince since(std::size_t zone) const;
  ZoneObservation observation(std::size_t zone) const { return own_seen_[zone]; }
  // Every zone but its own is silent: then it is itself that is cut off, and it has no say.
  bool isolated() const;

  // Looks at what all tell. `sure`: the view of the fleet may be relied on; else nothing is called, and what
  // holds goes on. True: a verdict is another than before.
  bool evaluate(Time now, const std::vector<ObserverReport>& reports, bool sure);
  const ZoneStatus& status(std::size_t zone) const { return zones_[zone].status; }
  ZoneState state(std::size_t zone) const {
    const Zone& z = zones_[zone];
    return z.doubtful ? ZoneState::Suspected : z.status.state;
  }
  bool quiet() const;  // nothing is under way anywhere
  // Whether this member goes there: where the zone returns, by a lot that is drawn anew with each epoch, so
  // that the part of the fleet that goes grows stage by stage.
  bool goes(std::size_t zone, Number self, Time now) const;
  // One of the few that look after a lost zone: by lot among the live members outside it.
  static bool watches(std::size_t zone, std::uint16_t epoch, Number self,
                      const std::vector<ObserverReport>& live);
  // Only one zone is away at a time: of several that were called in the same moment the first.
  bool away(std::size_t zone) const;
  // What is told to the others, and only as long as it helps to settle something.
  ZoneObservation reports(std::size_t zone) const { return zones_[zone].reported; }
  // Members that say they hear nothing from there, by the last evaluate(), and those that are answered.
  std::size_t silent(std::size_t zone) const { return zones_[zone].silent; }
  std::size_t answered(std::size_t zone) const { return zones_[zone].answered; }
  // From when a lost zone may return.
  Time awayUntil(std::size_t zone) const { return zones_[zone].away_until; }
  std::uint32_t flaps(std::size_t zone) const { return zones_[zone].flaps; }
  std::size_t size() const { return zones_.size(); }

 private:
  struct Zone {
    ZoneStatus status;
    bool doubtful = false;
    Time since = 0;                 // of the state
    Time called = fleet::kLongAgo;  // of the last verdict
    Time silent_since = 0;          // somebody tells silence
    bool compared = false;          // since then the other zones have answered, or had time enough
    Time compared_at = 0;
    ZoneObservation reported = ZoneObservation::None;  // by this member
    Time up_for = 0;                                   // before the doubt
    Time away_until = 0;
    std::uint32_t flaps = 0;
    // By the last evaluate(), of members elsewhere: what they say, how many there are, and in how many zones
    // those of silence and all are.
    std::size_t silent = 0, answered = 0, could = 0, places = 0, others = 0;
  };
  void count(Time now, std::size_t zone, const std::vector<ObserverReport>& reports);
  void beginComparison(Time now, std::size_t zone);
  void compare(Time now, std::size_t zone);
  bool othersAnswer(std::size_t zone) const;
  static bool suspected(const Zone& zone) { return zone.status.state == ZoneState::Up && zone.silent > 0; }
  std::size_t needed(const Zone& zone) const;
  bool unopposed(const Zone& zone) const;
  bool enough(const Zone& zone) const;
  bool settled(Time now, const Zone& but) const;
  ZoneObservation worthReporting(std::size_t zone) const;
  void call(Time now, Zone& zone, ZoneState state);
  void enter(Time now, Zone& zone, const ZoneStatus& status);
  void step(Time now, Zone& zone);

  const Rules rules_;
  const std::size_t own_;
  std::vector<ZoneObservation> own_seen_;
  std::vector<Zone> zones_;
};

}  // namespace client_proxy::zone_health
