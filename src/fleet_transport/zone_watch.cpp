#include "fleet_transport/zone_watch.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "fleet/facts.h"

namespace client_proxy::fleet_transport {
namespace {

using load_balancer::ZoneOrder;
using locality::Seen;
using locality::State;
using locality::Witness;
}  // namespace

ZoneWatch::ZoneWatch(Local& local, Log& log, fleet::Number self, std::string zone)
    : local_(local), log_(log), self_(self), zone_(std::move(zone)) {}

// One that is not among the hosts' zones lies beside them all.
std::size_t ZoneWatch::indexOf(const std::string& zone) const {
  return static_cast<std::size_t>(std::find(names_.begin(), names_.end(), zone) - names_.begin());
}

void ZoneWatch::see(Time now) {
  std::vector<std::string> names = local_.zones();
  std::sort(names.begin(), names.end());  // the first of several is the same one everywhere
  if (names != names_ || !court_) {
    // Zones are numbered anew: verdicts come back from what the others tell, and orders with them.
    for (std::size_t z = 0; z < names_.size(); ++z) {
      if (orders_[z] != ZoneOrder::Free) local_.setZone(names_[z], ZoneOrder::Free);
    }
    names_ = std::move(names);
    court_.emplace(names_.size(), indexOf(zone_));
    known_.clear();
    orders_.assign(names_.size(), ZoneOrder::Free);
    shown_.assign(names_.size(), State::Up);
    told_ = told();
  }
  for (std::size_t z = 0; z < names_.size(); ++z)
    court_->saw(z, local_.seen(names_[z], now, court_->since(z)));
}

// False: nobody has told anything new.
bool ZoneWatch::read(const fleet::Roster& roster) {
  bool news = known_.size() != roster.size();
  known_.resize(roster.size());
  for (std::size_t slot = 0; slot < roster.size(); ++slot) {
    const fleet::Member& m = roster.at(slot);
    Known& k = known_[slot];
    const bool live = fleet::isLive(m.standing.state) && m.listed.number != self_;
    if (std::exchange(k.live, live) != live) news = true;
    if (!live || (k.version == m.version && !k.witness.seen.empty())) continue;
    news = true;
    k.version = m.version;
    const auto facts = fleet::decodeFacts(m.facts);
    const fleet::Facts::Note* const note = facts ? facts->find(locality::kZonesNote) : nullptr;
    locality::Told told = locality::decode(note != nullptr ? note->bytes : "", names_);
    const std::string zone = !m.listed.zone.empty() ? m.listed.zone : facts ? facts->zone : std::string();
    k.witness = {m.listed.number, indexOf(zone), std::move(told.seen), std::move(told.verdicts)};
  }
  return news;
}

bool ZoneWatch::calm() const {
  if (!court_->quiet()) return false;
  for (std::size_t z = 0; z < names_.size(); ++z) {
    if (court_->sight(z) == Seen::Silence) return false;
  }
  return true;
}

std::vector<Witness> ZoneWatch::witnesses() const {
  std::vector<Witness> all;
  for (const Known& k : known_) {
    if (k.live) all.push_back(k.witness);
  }
  locality::Told own = told();
  all.push_back({self_, indexOf(zone_), std::move(own.seen), std::move(own.verdicts)});
  return all;
}

locality::Told ZoneWatch::told() const {
  locality::Told t;
  for (std::size_t z = 0; z < names_.size(); ++z) {
    t.seen.push_back(court_->tells(z));
    t.verdicts.push_back(court_->verdict(z));
  }
  return t;
}

// Others wait for the first words on a doubt, and for a verdict that nobody has told yet.
bool ZoneWatch::wanted(const locality::Told& before, const locality::Told& after,
                       const std::vector<Witness>& all) const {
  for (std::size_t z = 0; z < names_.size(); ++z) {
    // No more say a thing than settle it: each of their words is waited for.
    if (after.seen[z] != before.seen[z] && after.seen[z] != Seen::Nothing) return true;
    const bool verdict = !(after.verdicts[z] == before.verdicts[z]);
    const auto same = std::count_if(all.begin(), all.end(), [&](const Witness& w) {
      return w.member != self_ && w.verdicts[z] == after.verdicts[z];
    });
    if (verdict && same < 3) return true;
  }
  return false;
}

void ZoneWatch::order(Time now, const std::vector<Witness>& all, bool sure) {
  for (std::size_t z = 0; z < names_.size(); ++z) {
    ZoneOrder wanted = ZoneOrder::Free;
    // Lost to the others is not lost to those inside, who see it best: it may be all that they have.
    if (z != indexOf(zone_) && !court_->goes(z, self_, now)) {
      // Without a view to rely on nobody can tell who looks after the zone: each does.
      const bool looks = !sure || locality::Court::watches(z, court_->verdict(z).epoch, self_, all);
      wanted = looks ? ZoneOrder::Watch : ZoneOrder::Away;
    }
    if (std::exchange(orders_[z], wanted) != wanted) local_.setZone(names_[z], wanted);
    const State state = court_->state(z);
    if (std::exchange(shown_[z], state) == state) continue;
    log_.line("zones: " + names_[z] + " is " + std::string(locality::nameOf(state)) + ", epoch " +
                  std::to_string(court_->verdict(z).epoch) + ": silent to " +
                  std::to_string(court_->silent(z)) + ", answers " + std::to_string(court_->answered(z)),
              state == State::Lost ? LogLevel::Warning : LogLevel::Info);
  }
}

std::optional<ZoneWatch::Note> ZoneWatch::look(Time now, const fleet::Roster& roster, bool sure) {
  see(now);
  if (!read(roster) && calm()) return std::nullopt;
  std::vector<Witness> all = witnesses();
  court_->judge(now, all, sure);
  order(now, all, sure);
  const locality::Told after = told();
  std::string bytes = locality::encode(names_, after);
  const bool urgent = wanted(told_, after, all);
  told_ = after;
  if (bytes == note_) return std::nullopt;
  note_ = std::move(bytes);
  return Note{note_, urgent};
}

std::vector<std::string> ZoneWatch::lost() const {
  std::vector<std::string> all;
  for (std::size_t z = 0; court_ && z < names_.size(); ++z) {
    if (court_->away(z)) all.push_back(names_[z]);
  }
  return all;
}

std::string ZoneWatch::page(Time now) const {
  using nlohmann::ordered_json;
  ordered_json zones = ordered_json::array();
  for (std::size_t z = 0; court_ && z < names_.size(); ++z) {
    constexpr const char* kSeen[] = {"nothing", "answers", "silence"};
    constexpr const char* kOrders[] = {"free", "watch", "away"};
    ordered_json one = {{"zone", names_[z]},
                        {"state", locality::nameOf(court_->state(z))},
                        {"epoch", court_->verdict(z).epoch},
                        {"seen_here", kSeen[static_cast<std::size_t>(court_->sight(z))]},
                        {"silent_to", court_->silent(z)},
                        {"answers", court_->answered(z)},
                        {"order", kOrders[static_cast<std::size_t>(orders_[z])]},
                        {"flaps", court_->flaps(z)}};
    ordered_json by = ordered_json::array();
    for (const Known& k : known_) {
      if (k.live && k.witness.seen[z] == Seen::Silence) by.push_back(k.witness.member);
    }
    one["silence_told_by"] = by;
    if (court_->verdict(z).state == State::Lost)
      one["away_for_s"] = static_cast<double>(std::max<Time>(0, court_->awayUntil(z) - now)) / 1e6;
    zones.push_back(std::move(one));
  }
  return ordered_json{{"cut_off", court_ && court_->cutOff()}, {"zones", zones}}.dump(
      2, ' ', false, ordered_json::error_handler_t::replace);
}

}  // namespace client_proxy::fleet_transport
