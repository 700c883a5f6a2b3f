// Carries what this proxy and the others have seen of zones to the verdicts of src/locality, and these back
// to the decision module.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/roster.h"
#include "fleet_transport/neighbours.h"
#include "locality/notes.h"
#include "locality/verdict.h"
#include "net/log.h"

namespace client_proxy::fleet_transport {

class ZoneWatch {
 public:
  // `zone`: this proxy's own. `local` and `log` must outlive it.
  ZoneWatch(Local& local, Log& log, fleet::Number self, std::string zone);

  // What the record is to tell from now on.
  struct Note {
    std::string bytes;
    bool urgent = false;  // others wait for it
  };
  // Looks at what all have seen; gives orders where a verdict changes them. A note: it is another than
  // before. `sure`: the view of the fleet may be relied on.
  std::optional<Note> look(Time now, const fleet::Roster& roster, bool sure);
  const std::string& note() const { return note_; }
  std::string page(Time now) const;       // JSON: docs/zones.md
  std::vector<std::string> lost() const;  // by name

 private:
  struct Known {  // what a member told last
    fleet::RecordVersion version;
    bool live = false;
    locality::Witness witness;
  };
  std::size_t indexOf(const std::string& zone) const;
  void see(Time now);
  bool read(const fleet::Roster& roster);
  bool calm() const;
  std::vector<locality::Witness> witnesses() const;
  locality::Told told() const;
  bool wanted(const locality::Told& before, const locality::Told& after,
              const std::vector<locality::Witness>& all) const;
  void order(Time now, const std::vector<locality::Witness>& all, bool sure);

  Local& local_;
  Log& log_;
  const fleet::Number self_;
  const std::string zone_;
  std::vector<std::string> names_;
  std::optional<locality::Court> court_;
  std::vector<Known> known_;  // by slot
  std::vector<load_balancer::ZoneOrder> orders_;
  std::vector<locality::State> shown_;
  std::string note_;
  locality::Told told_;
};

}  // namespace client_proxy::fleet_transport
