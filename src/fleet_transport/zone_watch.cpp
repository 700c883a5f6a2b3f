#include "fleet_transport/zone_watch.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "fleet/facts.h"

namespace client_proxy::fleet_transport {
namespace {

using load_balancer::ZoneDirective;
using zone_health::ObserverReport;
using zone_health::ZoneObservation;
using zone_health::ZoneState;
}  // namespace

ZoneWatch::ZoneWatch(LocalNode& local, Log& log, fleet::Number self, std::string zone)
    : local_(local), log_(log), self_(self), zone_(std::move(zone)) {}

// The number of zones, an index past the end, for a zone without hosts.
std::size_t ZoneWatch::indexOf(const std::string& zone) const {
  return static_cast<std::size_t>(std::find(names_.begin(), names_.end(), zone) - names_.begin());
}

void ZoneWatch::observeZones(Time now) {
  std::vector<std::string> names = local_.zones();
  std::sort(names.begin(), names.end());  // all members must number the zones alike
  if (names != names_ || !zone_health_) {
    // The zones are renumbered: states and directives are rebuilt from the reports of the other members.
    for (std::size_t z = 0; z < names_.size(); ++z) {
      if (directives_[z] != ZoneDirective::None) local_.setZone(names_[z], ZoneDirective::None);
    }
    names_ = std::move(names);
    zone_health_.emplace(names_.size(), indexOf(zone_));
    member_reports_.clear();
    directives_.assign(names_.size(), ZoneDirective::None);
    logged_states_.assign(names_.size(), ZoneState::Up);
    last_report_ = ownReport();
  }
  for (std::size_t z = 0; z < names_.size(); ++z)
    zone_health_->observe(z, local_.seen(names_[z], now, zone_health_->since(z)));
}

// Reads the other members' reports. Returns whether anything has changed.
bool ZoneWatch::readReports(const fleet::Roster& roster) {
  bool changed = member_reports_.size() != roster.size();
  member_reports_.resize(roster.size());
  for (std::size_t slot = 0; slot < roster.size(); ++slot) {
    const fleet::Member& m = roster.at(slot);
    MemberReport& k = member_reports_[slot];
    const bool live = fleet::isLive(m.standing.state) && m.listed.number != self_;
    if (std::exchange(k.live, live) != live) changed = true;
    if (!live || (k.version == m.version && !k.report.seen.empty())) continue;
    changed = true;
    k.version = m.version;
    const auto facts = fleet::decodeFacts(m.facts);
    const fleet::Facts::Note* const note = facts ? facts->find(zone_health::kZonesNote) : nullptr;
    zone_health::ZoneReport reported = zone_health::decode(note != nullptr ? note->bytes : "", names_);
    const std::string zone = !m.listed.zone.empty() ? m.listed.zone : facts ? facts->zone : std::string();
    k.report = {m.listed.number, indexOf(zone), std::move(reported.seen), std::move(reported.statuses)};
  }
  return changed;
}

bool ZoneWatch::quiescent() const {
  if (!zone_health_->settledEverywhere()) return false;
  for (std::size_t z = 0; z < names_.size(); ++z) {
    if (zone_health_->observation(z) == ZoneObservation::Unresponsive) return false;
  }
  return true;
}

std::vector<ObserverReport> ZoneWatch::reports() const {
  std::vector<ObserverReport> all;
  for (const MemberReport& k : member_reports_) {
    if (k.live) all.push_back(k.report);
  }
  zone_health::ZoneReport own = ownReport();
  all.push_back({self_, indexOf(zone_), std::move(own.seen), std::move(own.statuses)});
  return all;
}

zone_health::ZoneReport ZoneWatch::ownReport() const {
  zone_health::ZoneReport t;
  for (std::size_t z = 0; z < names_.size(); ++z) {
    t.seen.push_back(zone_health_->reports(z));
    t.statuses.push_back(zone_health_->status(z));
  }
  return t;
}

// A report is urgent if it has a new observation, or a status that fewer than three other members report.
bool ZoneWatch::isUrgent(const zone_health::ZoneReport& before, const zone_health::ZoneReport& after,
                         const std::vector<ObserverReport>& all) const {
  for (std::size_t z = 0; z < names_.size(); ++z) {
    // Only as many members report an observation as the decision needs, so each of them is waited for.
    if (after.seen[z] != before.seen[z] && after.seen[z] != ZoneObservation::None) return true;
    const bool status = !(after.statuses[z] == before.statuses[z]);
    const auto same = std::count_if(all.begin(), all.end(), [&](const ObserverReport& w) {
      return w.member != self_ && w.statuses[z] == after.statuses[z];
    });
    if (status && same < 3) return true;
  }
  return false;
}

void ZoneWatch::applyDirectives(Time now, const std::vector<ObserverReport>& all, bool sure) {
  for (std::size_t z = 0; z < names_.size(); ++z) {
    ZoneDirective directive = ZoneDirective::None;
    // A member inside the zone observes it best, and its hosts may be the only ones that it reaches: it keeps
    // using a zone that is lost to the others.
    if (z != indexOf(zone_) && !zone_health_->sendsTraffic(z, self_, now)) {
      // Without a reliable view it is unknown which members check the zone's health: each does.
      const bool checks =
          !sure || zone_health::ZoneHealthQuorum::checksHealth(z, zone_health_->status(z).epoch, self_, all);
      directive = checks ? ZoneDirective::EjectAndCheck : ZoneDirective::Eject;
    }
    if (std::exchange(directives_[z], directive) != directive) local_.setZone(names_[z], directive);
    const ZoneState state = zone_health_->state(z);
    if (std::exchange(logged_states_[z], state) == state) continue;
    log_.line("zone state changed zone=" + names_[z] + " state=" + std::string(zone_health::nameOf(state)) +
                  " epoch=" + std::to_string(zone_health_->status(z).epoch) +
                  " unresponsive_to=" + std::to_string(zone_health_->unresponsiveReports(z)) +
                  " responding_to=" + std::to_string(zone_health_->respondingReports(z)),
              state == ZoneState::Down ? LogLevel::Warning : LogLevel::Info);
  }
}

std::optional<ZoneWatch::Note> ZoneWatch::update(Time now, const fleet::Roster& roster, bool sure) {
  observeZones(now);
  if (!readReports(roster) && quiescent()) return std::nullopt;
  std::vector<ObserverReport> all = reports();
  zone_health_->evaluate(now, all, sure);
  applyDirectives(now, all, sure);
  const zone_health::ZoneReport after = ownReport();
  std::string bytes = zone_health::encode(names_, after);
  const bool urgent = isUrgent(last_report_, after, all);
  last_report_ = after;
  if (bytes == note_) return std::nullopt;
  note_ = std::move(bytes);
  return Note{note_, urgent};
}

std::vector<std::string> ZoneWatch::lostZones() const {
  std::vector<std::string> all;
  for (std::size_t z = 0; zone_health_ && z < names_.size(); ++z) {
    if (zone_health_->excluded(z)) all.push_back(names_[z]);
  }
  return all;
}

std::string ZoneWatch::page(Time now) const {
  using nlohmann::ordered_json;
  ordered_json zones = ordered_json::array();
  for (std::size_t z = 0; zone_health_ && z < names_.size(); ++z) {
    constexpr const char* kObservationNames[] = {"nothing", "answers", "silence"};
    constexpr const char* kDirectiveNames[] = {"free", "watch", "away"};
    ordered_json one = {
        {"zone", names_[z]},
        {"state", zone_health::nameOf(zone_health_->state(z))},
        {"epoch", zone_health_->status(z).epoch},
        {"seen_here", kObservationNames[static_cast<std::size_t>(zone_health_->observation(z))]},
        {"silent_to", zone_health_->unresponsiveReports(z)},
        {"answers", zone_health_->respondingReports(z)},
        {"order", kDirectiveNames[static_cast<std::size_t>(directives_[z])]},
        {"flaps", zone_health_->flaps(z)}};
    ordered_json by = ordered_json::array();
    for (const MemberReport& k : member_reports_) {
      if (k.live && k.report.seen[z] == ZoneObservation::Unresponsive) by.push_back(k.report.member);
    }
    one["silence_told_by"] = by;
    if (zone_health_->status(z).state == ZoneState::Down)
      one["away_for_s"] = static_cast<double>(std::max<Time>(0, zone_health_->downUntil(z) - now)) / 1e6;
    zones.push_back(std::move(one));
  }
  return ordered_json{{"cut_off", zone_health_ && zone_health_->isolated()}, {"zones", zones}}.dump(
      2, ' ', false, ordered_json::error_handler_t::replace);
}

}  // namespace client_proxy::fleet_transport
