// Feeds the zone observations of this proxy and of the other members to src/zone_health, and applies the
// resulting zone states to the local load balancer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/roster.h"
#include "fleet_transport/membership_service.h"
#include "net/log.h"
#include "zone_health/zone_health_quorum.h"
#include "zone_health/zone_report.h"

namespace client_proxy::fleet_transport {

// update() is to be called periodically.
class ZoneWatch {
 public:
  // `zone` is this proxy's own zone. `local` and `log` must outlive it.
  ZoneWatch(LocalNode& local, Log& log, fleet::Number self, std::string zone);

  // The zone report that this member's record has to contain from now on.
  struct Note {
    std::string bytes;
    bool urgent = false;  // other members need it for a decision
  };
  // Evaluates the observations of all members and applies directives that have changed. Returns the note if
  // it has changed. `sure`: the view of the fleet is reliable.
  std::optional<Note> update(Time now, const fleet::Roster& roster, bool sure);
  // The current encoded report.
  const std::string& note() const { return note_; }
  std::string page(Time now) const;            // JSON: docs/zones.md
  std::vector<std::string> lostZones() const;  // names of excluded zones, sorted

 private:
  struct MemberReport {  // the last report of a member
    fleet::RecordVersion version;
    bool live = false;
    zone_health::ObserverReport report;
  };
  std::size_t indexOf(const std::string& zone) const;
  void observeZones(Time now);
  bool readReports(const fleet::Roster& roster);
  bool quiescent() const;
  std::vector<zone_health::ObserverReport> reports() const;
  zone_health::ZoneReport ownReport() const;
  bool isUrgent(const zone_health::ZoneReport& before, const zone_health::ZoneReport& after,
                const std::vector<zone_health::ObserverReport>& all) const;
  void applyDirectives(Time now, const std::vector<zone_health::ObserverReport>& all, bool sure);

  LocalNode& local_;
  Log& log_;
  const fleet::Number self_;
  const std::string zone_;
  std::vector<std::string> names_;
  std::optional<zone_health::ZoneHealthQuorum> zone_health_;
  std::vector<MemberReport> member_reports_;  // by slot
  std::vector<load_balancer::ZoneDirective> directives_;
  std::vector<zone_health::ZoneState> logged_states_;
  std::string note_;
  zone_health::ZoneReport last_report_;
};

}  // namespace client_proxy::fleet_transport
