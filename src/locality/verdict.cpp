#include "verdict.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "random.h"

namespace quinceline::locality {
namespace {

constexpr std::size_t kWatchers = 3;

// Between 0 and 1, the same for all who ask.
double lot(std::size_t zone, std::uint16_t epoch, Number member) {
  const std::uint64_t seed = std::uint64_t{zone} << 32 | std::uint64_t{epoch} << 16 | member;
  return weldflow::Random(seed).unit();
}

}  // namespace

bool Verdict::over(const Verdict& other) const {
  // Epochs go round: what is less than half a circle ahead is later.
  const auto ahead = static_cast<std::int16_t>(static_cast<std::uint16_t>(epoch - other.epoch));
  return ahead != 0 ? ahead > 0 : state > other.state;
}

Court::Court(std::size_t zones, std::size_t own, const Rules& rules)
    : rules_(rules), own_(own), own_seen_(zones, Seen::Nothing), zones_(zones) {}

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
void Court::count(std::size_t zone, const std::vector<Witness>& witnesses) {
  Zone& z = zones_[zone];
  z.silent = z.answered = z.could = 0;
  std::set<std::size_t> places, others;
  for (const Witness& w : witnesses) {
    if (w.zone == zone) continue;
    ++z.could;
    others.insert(w.zone);
    if (w.seen[zone] == Seen::Silence) {
      ++z.silent;
      places.insert(w.zone);
    } else if (w.seen[zone] == Seen::Answers) {
      ++z.answered;
    }
  }
  z.places = places.size();
  z.others = others.size();
}

// Several, in at least two zones where there are two others; and few of those that can tell say otherwise.
bool Court::enough(const Zone& z) const {
  return z.silent > 0 && z.silent >= std::min(rules_.least, z.could) &&
         z.places >= std::min<std::size_t>(2, z.others) && z.silent > 2 * z.answered;
}

void Court::enter(Time now, Zone& zone, const Verdict& verdict) {
  const State was = zone.verdict.state;
  const Time up_for = zone.doubtful ? zone.up_for : now - zone.since;
  zone.verdict = verdict;
  if (verdict.state == was) return;
  if (verdict.state == State::Lost) {
    // The longer away the oftener it went of late.
    const bool steady = was == State::Up && up_for >= rules_.steady;
    zone.flaps = steady ? 1 : zone.flaps + 1;
    const auto doubled = std::min<std::uint32_t>(zone.flaps - 1, 10);
    zone.away_until = now + std::min(rules_.longest_away, rules_.first_away << doubled);
  }
  zone.doubtful = false;
  zone.since = now;
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
  const bool doubt = z.silent > z.answered;
  if (doubt != z.doubtful) {
    if (doubt) z.up_for = age;
    z.doubtful = doubt;
    z.since = now;
  } else if (doubt && age >= rules_.doubt && enough(z)) {
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
    count(zone, witnesses);
    if (sure && !cutOff()) step(now, z);
    changed = changed || !(z.verdict == before);
  }
  return changed;
}

bool Court::quiet() const {
  return std::all_of(zones_.begin(), zones_.end(), [](const Zone& z) {
    return z.verdict.state == State::Up && !z.doubtful && z.silent == 0;
  });
}

bool Court::goes(std::size_t zone, Number self, Time now) const {
  const Zone& z = zones_[zone];
  if (z.verdict.state != State::Returning) return z.verdict.state != State::Lost;
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

// Hundreds that all say the same would fill the fleet's datagrams: of a zone that is lost nobody need say it
// any more, and of one that is up and undoubted nobody need say that it answers.
Seen Court::tells(std::size_t zone) const {
  const Zone& z = zones_[zone];
  const Seen seen = own_seen_[zone];
  if (zone == own_ || cutOff()) return Seen::Nothing;
  if (seen == Seen::Silence)
    return z.verdict.state == State::Up || z.verdict.state == State::Doubtful ||
                   z.verdict.state == State::Returning
               ? seen
               : Seen::Nothing;
  if (seen == Seen::Answers) return z.verdict.state == State::Up ? Seen::Nothing : seen;
  return Seen::Nothing;
}

}  // namespace quinceline::locality
