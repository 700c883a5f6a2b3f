// Locality-aware load distribution: how much of each zone's traffic goes to which zone, its own while that is
// safe. All members compute it alike from the same inputs, so that the sum stays within each zone's capacity.
// No I/O, no clock. docs/design-zones.md says why it is so.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace client_proxy::zone_health {

// One zone, as the list and the fleet's records tell of it.
struct ZoneLoad {
  std::string region;  // empty: its own, shared with nobody
  double demand = 0;   // requests a second that arise there
  double capacity =
      0;  // of its hosts in use, in any unit that is the same for all; cold ones by what they can
  std::size_t hosts = 0;
  bool open = true;  // false: nothing goes there
};

// What a zone may be asked to bear, in requests a second.
//
// `requests_per_capacity`: what one unit of capacity bears, if somebody knows; 0: nobody does. Then a zone
// may have so much more than its even part of all the demand as kept even load away from it would not show: a
// quarter for many hosts, less for few, nothing for a single one (bounded loads: Mirrokni, Thorup,
// Zadimoghaddam, "Consistent Hashing with Bounded Loads", applied to zones).
std::vector<double> capacitiesOf(const std::vector<ZoneLoad>& zones, double requests_per_capacity = 0);

struct TrafficPlan {
  std::vector<std::vector<double>> shares;  // [from][to], parts of one of what arises in `from`
  std::vector<double> load;                 // by zone, requests a second
  double overflow = 0;                      // requests a second for which nobody has room
};

// First the zone's own traffic up to its room; what is beyond goes to the spare room of its region, then to
// that of all; what nobody has room for lies on all open zones by their room, and is theirs to refuse. Zones
// without demand get the row that a small demand would.
TrafficPlan waterfall(const std::vector<ZoneLoad>& zones, const std::vector<double>& capacities);

// One row as it is followed: towards the plan by a bounded step, so that no change of facts is a cliff, and
// not for differences that are noise. What is closed is left at once.
class GradualShift {
 public:
  static constexpr double kStep = 0.10;    // of all traffic a second, at most, in sum
  static constexpr double kNoise = 0.02;   // a smaller difference in sum moves nothing
  static constexpr double kClose = 0.002;  // near enough: the move is over

  // `seconds` since the call before; the first call takes the row as it is.
  const std::vector<double>& follow(const std::vector<double>& target, const std::vector<bool>& open,
                                    double seconds);
  const std::vector<double>& row() const { return row_; }

 private:
  std::vector<double> row_;
  bool moving_ = false;
};

}  // namespace client_proxy::zone_health
