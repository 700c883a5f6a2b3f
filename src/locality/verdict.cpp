#include "locality/verdict.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <set>

#include "random/random.h"

namespace client_proxy::locality {
namespace {

constexpr std::size_t kWatchers = 3;

// Between 0 and 1, the same for all who ask.
double lot(std::size_t zone, std::uint16_t epoch, Number member) {
  const std::uint64_t seed = std::uint64_t{zone} << 32 | std::uint64_t{epoch} << 16 | member;
  return load_balancer::Random(seed).unit();
}

}  // namespace

bool Verdict::over(const Verdict& other) const {
  // Epochs go round: what is less than half a circle ahead is later.
  const auto ahead = static_cast<std::int16_t>(static_cast<std::uint16_t>(epoch - other.epoch));
  return ahead != 0 ? ahead > 0 : state > other.state;
}

Court::Court(std::size_t zones, std::size_t own, const Rules& rules)
    : rules_(rules), own_(own), own_seen_(zones, Seen::Nothing), zones_(zones) {}

load_balancer::ZoneSince Court::since(std::size_t zone) const {
  const Zone& asked = zones_[zone];
  if (asked.verdict.state != State::Up) return {asked.since, asked.since};
  if (suspected(asked)) return {asked.silent_since, fleet::kLongAgo};
  Time latest = fleet::kLongAgo;
  for (const Zone& z : zones_) {
    if (suspected(z)) latest = std::max(latest, z.silent_since);
  }
  return {latest, fleet::kLongAgo};
}

bool Court::cutOff() const {
  std::size_t others = 0;
  for (std::size_t z = 0; z < zones_.size(); ++z) {
    if (z == own_) continue;
    if (own_seen_[z] != Seen::Silence) return false;
    ++others;
  }
  return others > 1;
}

// A member has no say on its own zone: from inside, a zone that is cut off looks well.
// Once a verdict holds, only what is told by members that hold it too: others speak of the time before.
void Court::count(Time now, std::size_t zone, const std::vector<Witness>& witnesses) {
  Zone& z = zones_[zone];
  const bool before = z.silent > 0;
  z.silent = z.answered = z.could = 0;
  std::set<std::size_t> places, others;
  for (const Witness& w : witnesses) {
    if (w.zone == zone) continue;
    ++z.could;
    others.insert(w.zone);
    if (z.verdict.state != State::Up && !(w.verdicts[zone] == z.verdict)) continue;
    if (w.seen[zone] == Seen::Silence) {
      ++z.silent;
      places.insert(w.zone);
    } else if (w.seen[zone] == Seen::Answers) {
      ++z.answered;
    }
  }
  z.places = places.size();
  z.others = others.size();
  if (z.silent > 0 && !before) beginComparison(now, zone);
}

// Answers that this member has seen until now were to what was sent before.
void Court::beginComparison(Time now, std::size_t zone) {
  Zone& z = zones_[zone];
  z.silent_since = now;
  z.compared = false;
  for (std::size_t other = 0; other < zones_.size(); ++other) {
    const bool of_another_doubt = other != zone && suspected(zones_[other]);
    if (!of_another_doubt && own_seen_[other] == Seen::Answers) own_seen_[other] = Seen::Nothing;
  }
}

void Court::compare(Time now, std::size_t zone) {
  Zone& z = zones_[zone];
  if (z.compared || !suspected(z)) return;
  if (!othersAnswer(zone) && now - z.silent_since < rules_.longest_comparison) return;
  z.compared = true;
  z.compared_at = now;
}

// All that are up and in no doubt; so a second zone that is lost holds up nothing.
bool Court::othersAnswer(std::size_t zone) const {
  for (std::size_t other = 0; other < zones_.size(); ++other) {
    const Zone& z = zones_[other];
    const bool sound = other != zone && z.verdict.state == State::Up && !suspected(z);
    if (sound && own_seen_[other] != Seen::Answers) return false;
  }
  return true;
}

std::size_t Court::needed(const Zone& z) const {
  // Of those that go to a returning zone few can tell.
  const std::size_t part = z.verdict.state == State::Up ? z.could / rules_.one_in : 0;
  return std::min(std::clamp(part, rules_.least, rules_.most), z.could);
}

// Where a zone is lost nobody is answered; where it is full, or some of its hosts are gone, many are.
bool Court::unopposed(const Zone& z) const {
  return z.silent > 0 && z.silent >= rules_.objection * z.answered;
}

// Several, in at least two zones where there are two others.
bool Court::enough(const Zone& z) const {
  return unopposed(z) && z.silent >= needed(z) && z.places >= std::min<std::size_t>(2, z.others);
}

// A zone that is given up sends its load to the others: what is seen of them then is no reason to give up
// one more. If two are lost at once, each member finds the second by itself.
bool Court::settled(Time now, const Zone& but) const {
  return std::all_of(zones_.begin(), zones_.end(), [&](const Zone& z) {
    return &z == &but || (z.verdict.state == State::Up && now - z.called >= rules_.settle);
  });
}

void Court::enter(Time now, Zone& zone, const Verdict& verdict) {
  const State was = zone.verdict.state;
  const Time up_for = zone.doubtful ? zone.up_for : now - zone.since;
  zone.verdict = verdict;
  if (verdict.state == was) return;
  zone.called = now;
  if (verdict.state == State::Lost) {
    // The longer away the oftener it went of late.
    const bool steady = was == State::Up && up_for >= rules_.steady;
    zone.flaps = steady ? 1 : zone.flaps + 1;
    const auto doubled = std::min<std::uint32_t>(zone.flaps - 1, 10);
    zone.away_until = now + std::min(rules_.longest_away, rules_.first_away << doubled);
  }
  zone.doubtful = false;
  zone.since = zone.silent_since = now;
  zone.compared = false;
}

void Court::call(Time now, Zone& zone, State state) {
  enter(now, zone, {static_cast<std::uint16_t>(zone.verdict.epoch + 1), state});
}

void Court::step(Time now, Zone& z) {
  const Time age = now - z.since;
  switch (z.verdict.state) {
    case State::Lost:
      if (now >= z.away_until && z.answered > z.silent) call(now, z, State::Returning);
      return;
    case State::Returning:
      if (enough(z))
        call(now, z, State::Lost);
      else if (age >= rules_.stage * static_cast<Time>(std::size(kStages)))
        call(now, z, State::Up);
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
    call(now, z, State::Lost);
  }
}

bool Court::judge(Time now, const std::vector<Witness>& witnesses, bool sure) {
  bool changed = false;
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    Zone& z = zones_[zone];
    const Verdict before = z.verdict;
    for (const Witness& w : witnesses) {
      if (w.verdicts[zone].over(z.verdict)) enter(now, z, w.verdicts[zone]);
    }
    count(now, zone, witnesses);
    compare(now, zone);
    if (sure && !cutOff()) step(now, z);
    if (z.verdict.state != before.state) own_seen_[zone] = Seen::Nothing;  // what was seen before it
    changed = changed || !(z.verdict == before);
  }
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) zones_[zone].told = worthTelling(zone);
  return changed;
}

bool Court::quiet() const {
  return std::all_of(zones_.begin(), zones_.end(), [](const Zone& z) {
    return z.verdict.state == State::Up && !z.doubtful && z.silent == 0 && z.told == Seen::Nothing;
  });
}

bool Court::goes(std::size_t zone, Number self, Time now) const {
  const Zone& z = zones_[zone];
  if (z.verdict.state != State::Returning) return !away(zone);
  const auto stage = static_cast<std::size_t>(std::max<Time>(0, now - z.since) / rules_.stage);
  return stage >= std::size(kStages) || lot(zone, z.verdict.epoch, self) < kStages[stage];
}

bool Court::watches(std::size_t zone, std::uint16_t epoch, Number self, const std::vector<Witness>& live) {
  std::size_t before = 0;
  const double own = lot(zone, epoch, self);
  for (const Witness& w : live) {
    if (w.zone == zone && w.member == self) return false;
    const double other = lot(zone, epoch, w.member);
    if (w.zone != zone && w.member != self && (other < own || (other == own && w.member < self))) ++before;
  }
  return before < kWatchers;
}

bool Court::away(std::size_t zone) const {
  const auto lost = [](const Zone& z) { return z.verdict.state == State::Lost; };
  return lost(zones_[zone]) && std::find_if(zones_.begin(), zones_.end(), lost) - zones_.begin() ==
                                   static_cast<std::ptrdiff_t>(zone);
}

// Hundreds that all say the same would fill the fleet's datagrams: silence is told by as many as settle it
// and some more, an answer by as many as outweigh them. Of a zone that is lost silence is no news; of one
// that nobody doubts answers are none.
Seen Court::worthTelling(std::size_t zone) const {
  const Zone& z = zones_[zone];
  const Seen seen = own_seen_[zone];
  if (zone == own_ || seen == Seen::Nothing || cutOff()) return Seen::Nothing;
  const State state = z.verdict.state;
  if (seen == Seen::Silence) {
    if (state == State::Lost) return Seen::Nothing;
    return z.told == seen || z.silent < needed(z) + rules_.least ? seen : Seen::Nothing;
  }
  if (state == State::Up && z.silent == 0) return Seen::Nothing;
  return z.told == seen || z.answered < rules_.least + 2 * z.silent / rules_.objection ? seen : Seen::Nothing;
}

}  // namespace client_proxy::locality
