// Locality-aware load distribution: how much of each zone's traffic goes to which zone, its own as long as
// that has capacity. All members compute the same plan from the same inputs, so that the sum over all members
// stays within each zone's capacity. No I/O, no clock. docs/design-zones.md explains the design.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace client_proxy::zone_health {

// Demand and capacity of one zone, from the list of hosts and the fleet's records.
struct ZoneLoad {
  std::string region;  // empty: a region of its own, which no other zone shares
  double demand = 0;   // requests a second from clients in the zone
  // Of its hosts in use, in any unit that is the same for all zones; a host in slow start counts with its
  // reduced capacity.
  double capacity = 0;
  std::size_t hosts = 0;
  bool open = true;  // false: no traffic is sent there
};

// The load that each zone may receive, in requests a second.
//
// `requests_per_capacity`: the requests a second that one unit of capacity serves; 0: unknown. Then a zone's
// limit is its even part of the total demand and a margin on top: a quarter for many hosts, less for few,
// none for a single one (bounded loads: Mirrokni, Thorup, Zadimoghaddam, "Consistent Hashing with Bounded
// Loads", applied to zones).
std::vector<double> capacitiesOf(const std::vector<ZoneLoad>& zones, double requests_per_capacity = 0);

struct TrafficPlan {
  std::vector<std::vector<double>> shares;  // [from][to], fractions of the demand in `from`; a row sums to 1
  std::vector<double> load;                 // by zone, requests a second
  double overflow = 0;                      // requests a second beyond the capacity of all zones
};

// Each zone first takes its own traffic up to its capacity. The excess goes to the spare capacity of its
// region, then to that of all zones. What exceeds the capacity of all is spread over the open zones by their
// capacity, and their hosts are to reject it. Zones without demand get the row that a small demand would.
TrafficPlan waterfall(const std::vector<ZoneLoad>& zones, const std::vector<double>& capacities);

// The row of a plan that is in use. It approaches the newest plan at a bounded rate, so that a change of the
// inputs moves no traffic abruptly, and ignores small differences. Traffic leaves a closed zone at once.
class GradualShift {
 public:
  static constexpr double kMaxShiftPerSecond = 0.10;  // fraction of all traffic, in sum over the zones
  static constexpr double kMinDifference = 0.02;      // a shift begins at a larger difference, in sum
  static constexpr double kDoneDifference = 0.002;    // and ends at this one

  // `seconds` since the previous call; the first call adopts `target` at once. Returns the row in use.
  const std::vector<double>& approach(const std::vector<double>& target, const std::vector<bool>& open,
                                      double seconds);
  const std::vector<double>& row() const { return row_; }

 private:
  std::vector<double> row_;
  bool moving_ = false;
};

}  // namespace client_proxy::zone_health
