#include "zone_health/zone_health_quorum.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <set>

#include "random/random.h"

namespace client_proxy::zone_health {
namespace {

constexpr std::size_t kWatchers = 3;

// Between 0 and 1, the same for all who ask.
double lot(std::size_t zone, std::uint16_t epoch, Number member) {
  const std::uint64_t seed = std::uint64_t{zone} << 32 | std::uint64_t{epoch} << 16 | member;
  return load_balancer::Random(seed).unit();
}

}  // namespace

bool ZoneStatus::over(const ZoneStatus& other) const {
  // Epochs go round: what is less than half a circle ahead is later.
  const auto ahead = static_cast<std::int16_t>(static_cast<std::uint16_t>(epoch - other.epoch));
  return ahead != 0 ? ahead > 0 : state > other.state;
}

ZoneHealthQuorum::ZoneHealthQuorum(std::size_t zones, std::size_t own, const Rules& rules)
    : rules_(rules), own_(own), own_seen_(zones, ZoneObservation::None), zones_(zones) {}

load_balancer::ZoneObservedSince ZoneHealthQuorum::since(std::size_t zone) const {
  const Zone& asked = zones_[zone];
  if (asked.status.state != ZoneState::Up) return {asked.since, asked.since};
  if (suspected(asked)) return {asked.silent_since, fleet::kLongAgo};
  Time latest = fleet::kLongAgo;
  for (const Zone& z : zones_) {
    if (suspected(z)) latest = std::max(latest, z.silent_since);
  }
  return {latest, fleet::kLongAgo};
}

bool ZoneHealthQuorum::isolated() const {
  std::size_t others = 0;
  for (std::size_t z = 0; z < zones_.size(); ++z) {
    if (z == own_) continue;
    if (own_seen_[z] != ZoneObservation::Unresponsive) return false;
    ++others;
  }
  return others > 1;
}

// A member has no say on its own zone: from inside, a zone that is cut off looks well.
// Once a verdict holds, only what is told by members that hold it too: others speak of the time before.
void ZoneHealthQuorum::count(Time now, std::size_t zone, const std::vector<ObserverReport>& reports) {
  Zone& z = zones_[zone];
  const bool before = z.silent > 0;
  z.silent = z.answered = z.could = 0;
  std::set<std::size_t> places, others;
  for (const ObserverReport& w : reports) {
    if (w.zone == zone) continue;
    ++z.could;
    others.insert(w.zone);
    if (z.status.state != ZoneState::Up && !(w.statuses[zone] == z.status)) continue;
    if (w.seen[zone] == ZoneObservation::Unresponsive) {
      ++z.silent;
      places.insert(w.zone);
    } else if (w.seen[zone] == ZoneObservation::Responding) {
      ++z.answered;
    }
  }
  z.places = places.size();
  z.others = others.size();
  if (z.silent > 0 && !before) beginComparison(now, zone);
}

// Answers that this member has seen until now were to what was sent before.
void ZoneHealthQuorum::beginComparison(Time now, std::size_t zone) {
  Zone& z = zones_[zone];
  z.silent_since = now;
  z.compared = false;
  for (std::size_t other = 0; other < zones_.size(); ++other) {
    const bool of_another_doubt = other != zone && suspected(zones_[other]);
    if (!of_another_doubt && own_seen_[other] == ZoneObservation::Responding)
      own_seen_[other] = ZoneObservation::None;
  }
}

void ZoneHealthQuorum::compare(Time now, std::size_t zone) {
  Zone& z = zones_[zone];
  if (z.compared || !suspected(z)) return;
  if (!othersAnswer(zone) && now - z.silent_since < rules_.longest_comparison) return;
  z.compared = true;
  z.compared_at = now;
}

// All that are up and in no doubt; so a second zone that is lost holds up nothing.
bool ZoneHealthQuorum::othersAnswer(std::size_t zone) const {
  for (std::size_t other = 0; other < zones_.size(); ++other) {
    const Zone& z = zones_[other];
    const bool sound = other != zone && z.status.state == ZoneState::Up && !suspected(z);
    if (sound && own_seen_[other] != ZoneObservation::Responding) return false;
  }
  return true;
}

std::size_t ZoneHealthQuorum::needed(const Zone& z) const {
  // Of those that go to a returning zone few can tell.
  const std::size_t part = z.status.state == ZoneState::Up ? z.could / rules_.one_in : 0;
  return std::min(std::clamp(part, rules_.least, rules_.most), z.could);
}

// Where a zone is lost nobody is answered; where it is full, or some of its hosts are gone, many are.
bool ZoneHealthQuorum::unopposed(const Zone& z) const {
  return z.silent > 0 && z.silent >= rules_.objection * z.answered;
}

// Several, in at least two zones where there are two others.
bool ZoneHealthQuorum::enough(const Zone& z) const {
  return unopposed(z) && z.silent >= needed(z) && z.places >= std::min<std::size_t>(2, z.others);
}

// A zone that is given up sends its load to the others: what is seen of them then is no reason to give up
// one more. If two are lost at once, each member finds the second by itself.
bool ZoneHealthQuorum::settled(Time now, const Zone& but) const {
  return std::all_of(zones_.begin(), zones_.end(), [&](const Zone& z) {
    return &z == &but || (z.status.state == ZoneState::Up && now - z.called >= rules_.settle);
  });
}

void ZoneHealthQuorum::enter(Time now, Zone& zone, const ZoneStatus& status) {
  const ZoneState was = zone.status.state;
  const Time up_for = zone.doubtful ? zone.up_for : now - zone.since;
  zone.status = status;
  if (status.state == was) return;
  zone.called = now;
  if (status.state == ZoneState::Down) {
    // The longer away the oftener it went of late.
    const bool steady = was == ZoneState::Up && up_for >= rules_.steady;
    zone.flaps = steady ? 1 : zone.flaps + 1;
    const auto doubled = std::min<std::uint32_t>(zone.flaps - 1, 10);
    zone.away_until = now + std::min(rules_.longest_away, rules_.first_away << doubled);
  }
  zone.doubtful = false;
  zone.since = zone.silent_since = now;
  zone.compared = false;
}

void ZoneHealthQuorum::call(Time now, Zone& zone, ZoneState state) {
  enter(now, zone, {static_cast<std::uint16_t>(zone.status.epoch + 1), state});
}

void ZoneHealthQuorum::step(Time now, Zone& z) {
  const Time age = now - z.since;
  switch (z.status.state) {
    case ZoneState::Down:
      if (now >= z.away_until && z.answered > z.silent) call(now, z, ZoneState::Recovering);
      return;
    case ZoneState::Recovering:
      if (enough(z))
        call(now, z, ZoneState::Down);
      else if (age >= rules_.stage * static_cast<Time>(std::size(kStages)))
        call(now, z, ZoneState::Up);
      return;
    default:
      break;
  }
  const bool doubt = unopposed(z);
  const Time wait =
      rules_.doubt + rules_.doubt_each * static_cast<Time>(std::bit_width(static_cast<unsigned>(z.could)));
  if (doubt != z.doubtful) {
    if (doubt) z.up_for = age;
    z.doubtful = doubt;
    z.since = now;
  } else if (doubt && age >= wait && z.compared && now - z.compared_at >= wait && enough(z) &&
             settled(now, z)) {
    call(now, z, ZoneState::Down);
  }
}

bool ZoneHealthQuorum::evaluate(Time now, const std::vector<ObserverReport>& reports, bool sure) {
  bool changed = false;
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    Zone& z = zones_[zone];
    const ZoneStatus before = z.status;
    for (const ObserverReport& w : reports) {
      if (w.statuses[zone].over(z.status)) enter(now, z, w.statuses[zone]);
    }
    count(now, zone, reports);
    compare(now, zone);
    if (sure && !isolated()) step(now, z);
    if (z.status.state != before.state) own_seen_[zone] = ZoneObservation::None;  // what was seen before it
    changed = changed || !(z.status == before);
  }
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) zones_[zone].reported = worthReporting(zone);
  return changed;
}

bool ZoneHealthQuorum::quiet() const {
  return std::all_of(zones_.begin(), zones_.end(), [](const Zone& z) {
    return z.status.state == ZoneState::Up && !z.doubtful && z.silent == 0 &&
           z.reported == ZoneObservation::None;
  });
}

bool ZoneHealthQuorum::goes(std::size_t zone, Number self, Time now) const {
  const Zone& z = zones_[zone];
  if (z.status.state != ZoneState::Recovering) return !away(zone);
  const auto stage = static_cast<std::size_t>(std::max<Time>(0, now - z.since) / rules_.stage);
  return stage >= std::size(kStages) || lot(zone, z.status.epoch, self) < kStages[stage];
}

bool ZoneHealthQuorum::watches(std::size_t zone, std::uint16_t epoch, Number self,
                               const std::vector<ObserverReport>& live) {
  std::size_t before = 0;
  const double own = lot(zone, epoch, self);
  for (const ObserverReport& w : live) {
    if (w.zone == zone && w.member == self) return false;
    const double other = lot(zone, epoch, w.member);
    if (w.zone != zone && w.member != self && (other < own || (other == own && w.member < self))) ++before;
  }
  return before < kWatchers;
}

bool ZoneHealthQuorum::away(std::size_t zone) const {
  const auto lost = [](const Zone& z) { return z.status.state == ZoneState::Down; };
  return lost(zones_[zone]) && std::find_if(zones_.begin(), zones_.end(), lost) - zones_.begin() ==
                                   static_cast<std::ptrdiff_t>(zone);
}

// Hundreds that all say the same would fill the fleet's datagrams: silence is told by as many as settle it
// and some more, an answer by as many as outweigh them. Of a zone that is lost silence is no news; of one
// that nobody doubts answers are none.
ZoneObservation ZoneHealthQuorum::worthReporting(std::size_t zone) const {
  const Zone& z = zones_[zone];
  const ZoneObservation seen = own_seen_[zone];
  if (zone == own_ || seen == ZoneObservation::None || isolated()) return ZoneObservation::None;
  const ZoneState state = z.status.state;
  if (seen == ZoneObservation::Unresponsive) {
    if (state == ZoneState::Down) return ZoneObservation::None;
    return z.reported == seen || z.silent < needed(z) + rules_.least ? seen : ZoneObservation::None;
  }
  if (state == ZoneState::Up && z.silent == 0) return ZoneObservation::None;
  return z.reported == seen || z.answered < rules_.least + 2 * z.silent / rules_.objection
             ? seen
             : ZoneObservation::None;
}

}  // namespace client_proxy::zone_health
